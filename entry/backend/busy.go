package backend

import "github.com/tarragonreach/tarragonreach/api/fleet"

// Busy reports whether any connection to the executor is in use: for an attempt, for
// a response that is still being read, or for a probe.
func (t *HTTPTransport) Busy(id fleet.InstanceID) bool {
	for key, p := range *t.pools.Load() {
		if key.id == id && p.busy() {
			return true
		}
	}
	return false
}

func (p *pool) busy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open > len(p.idle)
}
