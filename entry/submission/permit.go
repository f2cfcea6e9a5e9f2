package submission

import "sync/atomic"

// permit is the Permit of a Deduplicator.
type permit struct {
	dedup    *Deduplicator
	key      Key
	grant    grantID
	finished atomic.Bool
	// onFinish forwards the outcome to the minter or the store that decides about
	// the key; nil if only this entry instance's memory does.
	onFinish func(outcome Outcome)
}

func (d *Deduplicator) newPermit(key Key, grant grantID, onFinish func(outcome Outcome)) *permit {
	return &permit{dedup: d, key: key, grant: grant, onFinish: onFinish}
}

// Finish implements Permit. Only the first call has an effect.
func (p *permit) Finish(outcome Outcome) {
	if !p.finished.CompareAndSwap(false, true) {
		return
	}
	d := p.dedup
	outcome = outcome.trimmed(d.options.KeepBodyBytes)
	d.memory.end(p.key, p.grant, outcome, d.now())
	if p.onFinish != nil {
		p.onFinish(outcome)
	}
}
