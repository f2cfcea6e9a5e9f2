package submission

import (
	"context"

	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// beginOwn decides about a submission that is named by a key of the caller's own.
func (k *Deduplicator) beginOwn(ctx context.Context, key Key, attempt int) (Permit, error) {
	opened, refusal := k.open(key, attempt)
	if refusal != nil {
		return nil, refusal
	}
	mine := claim{Owner: k.mint.self, Grant: opened.grant}
	got, err := k.acquire(ctx, key, mine)
	if err != nil {
		k.giveUp(key, opened.grant)
		if got.uncertain {
			k.dropLater(holding{storeKey: claimKey(key), claim: mine})
		}
		return nil, ended(ctx, claimFailed(vouched(opened.attempt, false), err))
	}
	if got.held == nil {
		k.adopt(key, opened.grant, got.other)
		return nil, duplicate(got.other)
	}
	return k.newPass(key, opened.grant, func(outcome Outcome) { k.settle(*got.held, outcome) }), nil
}

func (k *Deduplicator) acquire(ctx context.Context, key Key, mine claim) (acquisition, error) {
	if k.claims == nil {
		return acquisition{}, errNoStore
	}
	ctx, cancel := context.WithTimeout(ctx, k.options.ClaimTimeout)
	defer cancel()
	return k.claims.acquire(ctx, key, mine)
}

// adopt remembers an end that happened elsewhere, so that further copies here
// cost no call.
func (k *Deduplicator) adopt(key Key, grant grantID, other view) {
	if other.phase == PhaseEnded {
		k.memory.end(key, grant, other.outcome.trimmed(k.options.KeepBodyBytes), k.now())
		return
	}
	k.giveUp(key, grant)
}

// settle writes the end of a submission to the store when there are calls to spare.
func (k *Deduplicator) settle(held holding, outcome Outcome) {
	if outcome.Verdict == verdict.NotRun {
		k.dropLater(held)
		return
	}
	held.claim.Ended = true
	held.claim.Verdict, held.claim.Status = outcome.Verdict, outcome.Status
	k.background.add(func(ctx context.Context) bool { return k.claims.recordEnd(ctx, held) })
}

// dropLater removes a claim that was not used.
func (k *Deduplicator) dropLater(held holding) {
	k.background.add(func(ctx context.Context) bool { return k.claims.drop(ctx, held) })
}
