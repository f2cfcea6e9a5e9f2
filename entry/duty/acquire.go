package duty

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// Reasons for not acquiring a duty.
var (
	errHeld        = errors.New("another entry instance holds the duty")
	errNoCandidate = errors.New("this entry instance is not a candidate")
)

// claim is the value of a duty's key.
type claim struct {
	Holder fleet.InstanceID `json:"holder"`
	// Token identifies this attempt, also among those of the same holder.
	Token string    `json:"token"`
	At    time.Time `json:"at"`
}

// lease is a duty's lease with the term under it.
type lease struct {
	id   platform.LeaseID
	term Term
}

// acquire grants a lease and creates the duty's key under it.
func (l *Lessee) acquire(ctx context.Context, name string) (lease, error) {
	if !l.options.Candidate() {
		return lease{}, errNoCandidate
	}
	if err := l.checkFree(ctx, name); err != nil {
		return lease{}, err
	}
	// The window starts before the request for the lease is sent.
	began := time.Now()
	id, err := l.grant(ctx)
	if err != nil {
		return lease{}, fmt.Errorf("grant a lease for duty %s: %w", name, err)
	}
	epoch, err := l.claim(ctx, name, id)
	if err != nil {
		l.revoke(ctx, id)
		return lease{}, err
	}
	term := Term{
		Name: name, Epoch: int64(epoch), Since: time.Now(),
		key: Key(l.options.Zone, name), window: newWindow(began, windowLength),
	}
	return lease{id, term}, nil
}

// checkFree returns errHeld if the duty is held, so that no lease is granted needlessly.
func (l *Lessee) checkFree(ctx context.Context, name string) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := l.store.Get(ctx, Key(l.options.Zone, name))
	switch {
	case errors.Is(err, platform.ErrNotFound):
		return nil
	case err != nil:
		return fmt.Errorf("read duty %s: %w", name, err)
	default:
		return errHeld
	}
}

// grant grants a lease. If the response is lost, the lease expires unused.
func (l *Lessee) grant(ctx context.Context) (platform.LeaseID, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return l.store.Grant(ctx, TTL)
}

// claim creates the duty's key and returns its revision, the term's epoch. If the response
// is lost, it reads the key back.
func (l *Lessee) claim(ctx context.Context, name string, id platform.LeaseID) (platform.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	own := claim{Holder: l.options.Self, Token: rand.Text(), At: time.Now().UTC()}
	value, err := json.Marshal(own)
	if err != nil {
		return 0, fmt.Errorf("encode the claim of duty %s: %w", name, err)
	}
	key := Key(l.options.Zone, name)
	epoch, err := l.store.Create(ctx, key, value, id)
	switch {
	case err == nil:
		return epoch, nil
	case errors.Is(err, platform.ErrExists):
		return 0, errHeld
	}
	return l.readBack(ctx, key, own.Token, err)
}

// readBack returns the key's revision if its token is that of this attempt.
func (l *Lessee) readBack(ctx context.Context, key, token string, cause error) (platform.Revision, error) {
	entry, err := l.store.Get(ctx, key)
	if err != nil {
		return 0, fmt.Errorf("claim %s: %w", key, errors.Join(cause, err))
	}
	var found claim
	if err := json.Unmarshal(entry.Value, &found); err != nil || found.Token != token {
		return 0, errHeld
	}
	return entry.Revision, nil
}

// revoke revokes the lease; if that fails, the lease expires.
func (l *Lessee) revoke(ctx context.Context, id platform.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
	defer cancel()
	_ = l.store.Revoke(ctx, id)
}
