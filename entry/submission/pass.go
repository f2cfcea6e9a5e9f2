package submission

import "sync/atomic"

// pass is the right to send one submission.
type pass struct {
	keeper   *Deduplicator
	key      Key
	grant    grantID
	finished atomic.Bool
	// after passes the outcome on to those who decide about the key; nil where
	// that is this entry instance's memory alone.
	after func(outcome Outcome)
}

func (k *Deduplicator) newPass(key Key, grant grantID, after func(outcome Outcome)) *pass {
	return &pass{keeper: k, key: key, grant: grant, after: after}
}

// Finish implements Pass. Only the first call has an effect.
func (p *pass) Finish(outcome Outcome) {
	if !p.finished.CompareAndSwap(false, true) {
		return
	}
	k := p.keeper
	outcome = outcome.trimmed(k.options.KeepBodyBytes)
	k.memory.end(p.key, p.grant, outcome, k.now())
	if p.after != nil {
		p.after(outcome)
	}
}
