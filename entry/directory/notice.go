package directory

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// notice is an executor's own notice that it is leaving.
type notice struct {
	until time.Time
	// probeFailed is true if a readiness probe has failed since the notice, so that a
	// later success shows that the executor has restarted.
	probeFailed bool
}

// NoteLeaving records the notice that an executor gave with a response. The notice is valid
// until readiness probes show that the executor has restarted or Options.NoticeTTL has
// passed. It has no effect while the platform's list omits the instance.
func (d *Directory) NoteLeaving(id fleet.InstanceID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	old := d.inputs.notices[id]
	d.inputs.notices[id] = notice{until: time.Now().Add(d.options.NoticeTTL), probeFailed: old.probeFailed}
	d.publish()
}

// NoteReadiness records the result of a readiness probe. A failed probe counts as a
// notice; a successful one ends a notice only if a probe has failed since the notice.
func (d *Directory) NoteReadiness(id fleet.InstanceID, ready bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case !ready:
		d.inputs.notices[id] = notice{until: time.Now().Add(d.options.NoticeTTL), probeFailed: true}
	case d.inputs.notices[id].probeFailed:
		delete(d.inputs.notices, id)
	default:
		return
	}
	d.publish()
}

// dropExpiredNotices removes the notices that have expired.
func (d *Directory) dropExpiredNotices(now time.Time) {
	for id, n := range d.inputs.notices {
		if !now.Before(n.until) {
			delete(d.inputs.notices, id)
		}
	}
}
