package submission

import (
	"fmt"
	"net/http"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Methods that entry instances call on each other.
const (
	// MethodBegin requests from a ticket's minter the right to send its submission.
	MethodBegin = "submission/begin"
	// MethodFinish reports the outcome of the submission to the minter.
	MethodFinish = "submission/finish"
	// MethodState requests the state of a grant from the holder of its claim.
	MethodState = "submission/state"
)

type beginRequest struct {
	Tenant  string    `cbor:"1,keyasint"`
	Ticket  string    `cbor:"2,keyasint"`
	Grant   grantID   `cbor:"3,keyasint"`
	NotRun  []grantID `cbor:"4,keyasint,omitempty"`
	Attempt int       `cbor:"5,keyasint,omitempty"`
}

// beginReply grants the submission if Code is empty.
type beginReply struct {
	Code    verdict.Code    `cbor:"1,keyasint,omitempty"`
	Verdict verdict.Verdict `cbor:"2,keyasint,omitempty"`
	Detail  string          `cbor:"3,keyasint,omitempty"`
	// State is set if Code is verdict.CodeDuplicate.
	State stateReply `cbor:"4,keyasint,omitempty"`
}

type finishRequest struct {
	Tenant  string      `cbor:"1,keyasint"`
	Ticket  string      `cbor:"2,keyasint"`
	Grant   grantID     `cbor:"3,keyasint"`
	Outcome wireOutcome `cbor:"4,keyasint"`
}

type finishReply struct{}

type stateRequest struct {
	Tenant string  `cbor:"1,keyasint"`
	Value  string  `cbor:"2,keyasint"`
	Grant  grantID `cbor:"3,keyasint"`
}

type stateReply struct {
	Phase   Phase       `cbor:"1,keyasint,omitempty"`
	Outcome wireOutcome `cbor:"2,keyasint,omitempty"`
}

// wireOutcome is an Outcome in messages between entry instances.
type wireOutcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint,omitempty"`
	Status  int             `cbor:"2,keyasint,omitempty"`
	Header  http.Header     `cbor:"3,keyasint,omitempty"`
	Body    []byte          `cbor:"4,keyasint,omitempty"`
}

func toWire(o Outcome) wireOutcome { return wireOutcome(o) }

func (w wireOutcome) outcome() Outcome { return Outcome(w) }

func (s stateReply) view() view { return view{phase: s.Phase, outcome: s.Outcome.outcome()} }

func stateOf(v view) stateReply { return stateReply{Phase: v.phase, Outcome: toWire(v.outcome)} }

func encodeMessage[T any](message T) ([]byte, error) {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", message, err)
	}
	return payload, nil
}

func decodeMessage[T any](payload []byte) (T, error) {
	var message T
	if err := cbor.Unmarshal(payload, &message); err != nil {
		return message, fmt.Errorf("decode %T: %w", message, err)
	}
	return message, nil
}
