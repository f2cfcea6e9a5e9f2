package submission

import (
	"context"
	"crypto/rand"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// Keeper is the Guard of one entry instance.
type Keeper struct {
	options Options
	mint    *mint
	memory  *memory
}

var _ Guard = (*Keeper)(nil)

// New returns a Keeper, or an error if Options.Self can't be put into a ticket.
func New(options Options) (*Keeper, error) {
	options = options.withDefaults()
	m, err := newMint(options.Self, options.TicketLifetime)
	if err != nil {
		return nil, fmt.Errorf("submission: %w", err)
	}
	return &Keeper{
		options: options,
		mint:    m,
		memory:  newMemory(options.MaxRecords, options.MaxBodyBytes),
	}, nil
}

// NextTicket implements Guard.
func (k *Keeper) NextTicket(tenant string) string { return k.mint.next(tenant, k.now()) }

// Begin implements Guard.
func (k *Keeper) Begin(ctx context.Context, key Key, attempt int) (Pass, error) {
	if len(key.Value) == 0 || len(key.Value) > MaxKeyBytes {
		return nil, verdict.New(verdict.NotRun, verdict.CodeBadRequest,
			fmt.Sprintf("an idempotency key has 1 to %d bytes", MaxKeyBytes))
	}
	if isTicket(key.Value) {
		return k.beginTicket(key)
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeClaimUnavailable, "keys of the caller's own cannot be claimed yet")
}

func (k *Keeper) beginTicket(key Key) (Pass, error) {
	t, err := decodeTicket(key.Value)
	if err != nil || t.minter != k.mint.self || !k.mint.genuine(t, key.Tenant) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeTicketInvalid, "the ticket was not minted here for this tenant")
	}
	now := k.now()
	grant := newGrant()
	switch how, seen := k.memory.begin(key, grant, grantID{}, t.expires(), now); how {
	case startedBefore:
		return nil, duplicate(seen)
	case startRefusedFull:
		return nil, verdict.New(verdict.NotRun, verdict.CodeClaimCapacity, "too many submissions are remembered")
	}
	return &localPass{keeper: k, key: key, grant: grant}, nil
}

func (k *Keeper) now() time.Time { return k.options.Now() }

func newGrant() grantID {
	var g grantID
	_, _ = rand.Read(g[:]) // never fails
	return g
}

// localPass is a pass that this entry instance's memory granted.
type localPass struct {
	keeper *Keeper
	key    Key
	grant  grantID
}

// Finish implements Pass.
func (p *localPass) Finish(outcome Outcome) {
	phase := PhaseEnded
	if outcome.Verdict == verdict.NotRun {
		phase = PhaseReleased
	}
	p.keeper.memory.end(p.key, p.grant, phase, outcome, p.keeper.now())
}
