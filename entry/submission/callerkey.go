package submission

import (
	"context"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// beginOwn decides about a submission that is named by a key of the caller's own.
func (d *Deduplicator) beginCallerKey(ctx context.Context, key Key, attempt int) (Permit, error) {
	pending, refusal := d.recordPending(key, attempt)
	if refusal != nil {
		return nil, refusal
	}
	mine := claim{Owner: d.mint.self, Grant: pending.grant}
	got, err := d.acquire(ctx, key, mine)
	if err != nil {
		d.releaseGrant(key, pending.grant)
		if got.uncertain {
			d.removeClaimLater(heldClaim{storeKey: claimKey(key), claim: mine})
		}
		return nil, withContextCause(ctx, claimFailed(verdictByAttempt(pending.attempt, false), err))
	}
	if got.held == nil {
		d.adoptOutcome(key, pending.grant, got.other)
		return nil, duplicate(got.other)
	}
	return d.newPermit(key, pending.grant, func(outcome Outcome) { d.recordOutcomeLater(*got.held, outcome) }), nil
}

func (d *Deduplicator) acquire(ctx context.Context, key Key, mine claim) (acquisition, error) {
	if d.claims == nil {
		return acquisition{}, errNoStore
	}
	ctx, cancel := context.WithTimeout(ctx, d.options.ClaimTimeout)
	defer cancel()
	return d.claims.acquire(ctx, key, mine)
}

// adopt remembers an end that happened elsewhere, so that further copies here
// cost no call.
func (d *Deduplicator) adoptOutcome(key Key, grant grantID, other view) {
	if other.phase == PhaseEnded {
		d.memory.end(key, grant, other.outcome.trimmed(d.options.KeepBodyBytes), d.now())
		return
	}
	d.releaseGrant(key, grant)
}

// settle writes the end of a submission to the store when there are calls to spare.
func (d *Deduplicator) recordOutcomeLater(held heldClaim, outcome Outcome) {
	if outcome.Verdict == verdict.NotRun {
		d.removeClaimLater(held)
		return
	}
	held.claim.Ended = true
	held.claim.Verdict, held.claim.Status = outcome.Verdict, outcome.Status
	d.background.add(func(ctx context.Context) bool { return d.claims.recordOutcome(ctx, held) })
}

// dropLater removes a claim that was not used.
func (d *Deduplicator) removeClaimLater(held heldClaim) {
	d.background.add(func(ctx context.Context) bool { return d.claims.remove(ctx, held) })
}
