package submission

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// ClaimPrefix is the prefix of the store keys of all claims.
const ClaimPrefix = "claims/"

// claimKeyBytes is how many bytes of the hash of tenant and key identify a claim.
const claimKeyBytes = 24

// claim records in the store which entry instance may send a submission.
type claim struct {
	Owner fleet.InstanceID `cbor:"1,keyasint"`
	Grant grantID          `cbor:"2,keyasint"`
	// Ended reports that Verdict and Status are set.
	Ended   bool            `cbor:"3,keyasint,omitempty"`
	Verdict verdict.Verdict `cbor:"4,keyasint,omitempty"`
	Status  int             `cbor:"5,keyasint,omitempty"`
}

// claimKey returns the store key of a submission's claim.
func claimKey(key Key) string {
	h := sha256.New()
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(len(key.Tenant)))
	_, _ = h.Write(length[:]) // never fails
	_, _ = h.Write([]byte(key.Tenant))
	_, _ = h.Write([]byte(key.Value))
	return ClaimPrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:claimKeyBytes])
}

func (c claim) encode() ([]byte, error) {
	value, err := cbor.Marshal(c)
	if err != nil {
		return nil, fmt.Errorf("encode claim: %w", err)
	}
	return value, nil
}

// decodeClaim decodes a claim. One that cannot be decoded counts as created by an
// unknown owner, so that its submission never runs again.
func decodeClaim(value []byte) claim {
	var c claim
	if err := cbor.Unmarshal(value, &c); err != nil {
		return claim{}
	}
	return c
}

// view returns the state stored in the claim itself.
func (c claim) view() view {
	if !c.Ended {
		return view{phase: PhaseUnknown, grant: c.Grant}
	}
	return view{
		phase:   PhaseEnded,
		grant:   c.Grant,
		outcome: Outcome{Verdict: c.Verdict, Status: c.Status},
	}
}
