package config

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Rollout measures how long each revision takes from its acceptance until it is
// in force on every live entry instance, as one entry instance sees it. It is safe
// for concurrent use. Its times compare clocks of several instances, so they are
// as exact as these agree.
type Rollout struct {
	mu      sync.Mutex
	waiting []Progress // revisions not yet in force everywhere, oldest first
	done    []Progress // the last rollOutsKept complete ones, oldest first
	held    map[fleet.InstanceID]InstanceRevision
}

// InstanceRevision is the revision that an entry instance holds, and when it put the revisions
// that it was asked about in force, as far as it knows.
type InstanceRevision struct {
	Revision object.Revision               `json:"revision"`
	InForce  map[object.Revision]time.Time `json:"inForce,omitempty"`
}

// Bounds of the roll-outs remembered, complete ones and those that still wait.
const (
	rollOutsKept    = 64
	rollOutsWaiting = 256
)

// Progress is how far one revision has come.
type Progress struct {
	Revision   object.Revision `json:"revision"`
	AcceptedAt time.Time       `json:"acceptedAt"`
	// InForceAt is when it was in force everywhere; zero while it is not.
	InForceAt time.Time `json:"inForceAt,omitzero"`
	// Behind lists the live entry instances that hold an older revision.
	Behind []fleet.InstanceID `json:"behind,omitempty"`
}

// Duration returns the time from acceptance until in force everywhere, or zero.
func (p Progress) Duration() time.Duration {
	if p.InForceAt.IsZero() {
		return 0
	}
	return p.InForceAt.Sub(p.AcceptedAt)
}

// NewRollout returns a measure that follows the configuration.
func NewRollout(follower *Follower, self fleet.InstanceID) *Rollout {
	r := &Rollout{held: map[fleet.InstanceID]InstanceRevision{}}
	follower.Subscribe(func(c *object.Config) { r.accepted(self, c) })
	return r
}

// accepted notes a revision in force here. Whether it is in force elsewhere is for
// Observe to say.
func (r *Rollout) accepted(self fleet.InstanceID, c *object.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	own := r.held[self]
	if own.InForce == nil {
		own.InForce = map[object.Revision]time.Time{}
	}
	own.Revision, own.InForce[c.Revision] = c.Revision, now
	delete(own.InForce, c.Revision-rollOutsWaiting)
	r.held[self] = own
	if c.Revision == 0 {
		return
	}
	r.waiting = append(r.waiting, Progress{Revision: c.Revision, AcceptedAt: c.AcceptedAt})
	r.waiting = r.waiting[max(0, len(r.waiting)-rollOutsWaiting):]
}

// Waiting returns the revisions that are not yet known in force everywhere, oldest
// first.
func (r *Rollout) Waiting() []object.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]object.Revision, 0, len(r.waiting))
	for _, progress := range r.waiting {
		out = append(out, progress.Revision)
	}
	return out
}

// Observe notes what each live entry instance answered about the revisions that
// wait. Instances that are left out are gone and hold up nothing.
func (r *Rollout) Observe(held map[fleet.InstanceID]InstanceRevision, self fleet.InstanceID, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.held[self]
	r.held = make(map[fleet.InstanceID]InstanceRevision, len(held)+1)
	maps.Copy(r.held, held)
	r.held[self] = own
	r.settle(at)
}

// settle closes the revisions that every live instance holds. The caller holds
// the lock.
func (r *Rollout) settle(at time.Time) {
	least := r.least()
	for len(r.waiting) > 0 && r.waiting[0].Revision <= least {
		finished := r.waiting[0]
		finished.InForceAt = r.inForce(finished.Revision, at)
		r.waiting = r.waiting[1:]
		r.done = append(r.done, finished)
		r.done = r.done[max(0, len(r.done)-rollOutsKept):]
	}
}

// inForce returns the latest time at which an instance put the revision in force by
// its own word, or at where none knows.
func (r *Rollout) inForce(revision object.Revision, at time.Time) time.Time {
	var latest time.Time
	for _, held := range r.held {
		if since := held.InForce[revision]; since.After(latest) {
			latest = since
		}
	}
	if latest.IsZero() {
		return at
	}
	return latest
}

func (r *Rollout) least() object.Revision {
	first := true
	var least object.Revision
	for _, held := range r.held {
		if first || held.Revision < least {
			least, first = held.Revision, false
		}
	}
	return least
}

// Recent returns up to limit roll-outs, the newest first.
func (r *Rollout) Recent(limit int) []Progress {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := slices.Concat(r.done, r.waiting)
	slices.Reverse(out)
	out = out[:min(limit, len(out))]
	for i := range out {
		if out[i].InForceAt.IsZero() {
			out[i].Behind = r.behind(out[i].Revision)
		}
	}
	return out
}

func (r *Rollout) behind(revision object.Revision) []fleet.InstanceID {
	var out []fleet.InstanceID
	for id, held := range r.held {
		if held.Revision < revision {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
