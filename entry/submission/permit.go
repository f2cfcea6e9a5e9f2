package submission

import "sync/atomic"

// pass is the right to send one submission.
type permit struct {
	dedup    *Deduplicator
	key      Key
	grant    grantID
	finished atomic.Bool
	// after passes the outcome on to those who decide about the key; nil where
	// that is this entry instance's memory alone.
	onFinish func(outcome Outcome)
}

func (d *Deduplicator) newPermit(key Key, grant grantID, onFinish func(outcome Outcome)) *permit {
	return &permit{dedup: d, key: key, grant: grant, onFinish: onFinish}
}

// Finish implements Pass. Only the first call has an effect.
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
