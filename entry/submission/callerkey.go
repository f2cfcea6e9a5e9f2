package submission

import (
	"context"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// beginCallerKey handles a submission identified by a key that the caller chose.
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

// adoptOutcome keeps an outcome recorded elsewhere in memory, so that further copies at
// this entry instance cost no call. If other has no outcome yet, it releases the
// grant.
func (d *Deduplicator) adoptOutcome(key Key, grant grantID, other view) {
	if other.phase == PhaseEnded {
		d.memory.end(key, grant, other.outcome.trimmed(d.options.KeepBodyBytes), d.now())
		return
	}
	d.releaseGrant(key, grant)
}

// recordOutcomeLater queues the write of a submission's outcome to its claim, which
// uses spare store calls only. The claim is removed if the submission did not run.
func (d *Deduplicator) recordOutcomeLater(held heldClaim, outcome Outcome) {
	if outcome.Verdict == verdict.NotRun {
		d.removeClaimLater(held)
		return
	}
	held.claim.Ended = true
	held.claim.Verdict, held.claim.Status = outcome.Verdict, outcome.Status
	d.background.add(func(ctx context.Context) bool { return d.claims.recordOutcome(ctx, held) })
}

// removeClaimLater queues the removal of a claim that was not used.
func (d *Deduplicator) removeClaimLater(held heldClaim) {
	d.background.add(func(ctx context.Context) bool { return d.claims.remove(ctx, held) })
}
