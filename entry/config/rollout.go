package config

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
)

// Rollout measures how long each revision takes from its acceptance until it is in
// force on every live entry instance, as observed by one entry instance. It is safe
// for concurrent use. Its times compare clocks of several instances, so they are only
// as accurate as the clocks are synchronised.
type Rollout struct {
	mu        sync.Mutex
	waiting   []Progress // revisions not yet in force everywhere, oldest first
	done      []Progress // the last maxDoneRollouts complete ones, oldest first
	instances map[fleet.InstanceID]InstanceRevision
}

// InstanceRevision is the current revision of an entry instance, with the times at
// which it put the requested revisions in force, as far as it has recorded them.
type InstanceRevision struct {
	Revision object.Revision               `json:"revision"`
	InForce  map[object.Revision]time.Time `json:"inForce,omitempty"`
}

// Bounds of the rollouts kept: complete ones, and those not yet in force everywhere.
const (
	maxDoneRollouts    = 64
	maxWaitingRollouts = 256
)

// Progress is the rollout state of one revision.
type Progress struct {
	Revision   object.Revision `json:"revision"`
	AcceptedAt time.Time       `json:"acceptedAt"`
	// InForceAt is when the revision was in force everywhere; zero until then.
	InForceAt time.Time `json:"inForceAt,omitzero"`
	// Behind lists the live entry instances with an older revision.
	Behind []fleet.InstanceID `json:"behind,omitempty"`
}

// Duration returns the time from acceptance until the revision was in force
// everywhere, or zero if it is not yet.
func (p Progress) Duration() time.Duration {
	if p.InForceAt.IsZero() {
		return 0
	}
	return p.InForceAt.Sub(p.AcceptedAt)
}

// NewRollout returns a Rollout that is fed with the follower's revisions.
func NewRollout(follower *Follower, self fleet.InstanceID) *Rollout {
	r := &Rollout{instances: map[fleet.InstanceID]InstanceRevision{}}
	follower.Subscribe(func(c *object.Config) { r.recordLocal(self, c) })
	return r
}

// recordLocal records a revision in force on this entry instance. Observe covers
// the other instances.
func (r *Rollout) recordLocal(self fleet.InstanceID, c *object.Config) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	own := r.instances[self]
	if own.InForce == nil {
		own.InForce = map[object.Revision]time.Time{}
	}
	own.Revision, own.InForce[c.Revision] = c.Revision, now
	delete(own.InForce, c.Revision-maxWaitingRollouts)
	r.instances[self] = own
	if c.Revision == 0 {
		return
	}
	r.waiting = append(r.waiting, Progress{Revision: c.Revision, AcceptedAt: c.AcceptedAt})
	r.waiting = r.waiting[max(0, len(r.waiting)-maxWaitingRollouts):]
}

// Waiting returns the revisions that are not yet known to be in force everywhere,
// oldest first.
func (r *Rollout) Waiting() []object.Revision {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]object.Revision, 0, len(r.waiting))
	for _, progress := range r.waiting {
		out = append(out, progress.Revision)
	}
	return out
}

// Observe records the responses of the other live entry instances about the waiting
// revisions. Instances without an entry count as lost and delay no rollout.
func (r *Rollout) Observe(instances map[fleet.InstanceID]InstanceRevision, self fleet.InstanceID, observedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	own := r.instances[self]
	r.instances = make(map[fleet.InstanceID]InstanceRevision, len(instances)+1)
	maps.Copy(r.instances, instances)
	r.instances[self] = own
	r.completeRollouts(observedAt)
}

// completeRollouts marks the revisions that every live instance has reached as
// complete. The caller holds the lock.
func (r *Rollout) completeRollouts(observedAt time.Time) {
	oldest := r.oldestRevision()
	for len(r.waiting) > 0 && r.waiting[0].Revision <= oldest {
		finished := r.waiting[0]
		finished.InForceAt = r.inForceAt(finished.Revision, observedAt)
		r.waiting = r.waiting[1:]
		r.done = append(r.done, finished)
		r.done = r.done[max(0, len(r.done)-maxDoneRollouts):]
	}
}

// inForceAt returns the latest of the times that the instances report for putting the
// revision in force, or observedAt if none reports a time.
func (r *Rollout) inForceAt(revision object.Revision, observedAt time.Time) time.Time {
	var latest time.Time
	for _, instance := range r.instances {
		if since := instance.InForce[revision]; since.After(latest) {
			latest = since
		}
	}
	if latest.IsZero() {
		return observedAt
	}
	return latest
}

func (r *Rollout) oldestRevision() object.Revision {
	first := true
	var oldest object.Revision
	for _, instance := range r.instances {
		if first || instance.Revision < oldest {
			oldest, first = instance.Revision, false
		}
	}
	return oldest
}

// Recent returns up to limit rollouts, the newest first.
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
	for id, instance := range r.instances {
		if instance.Revision < revision {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
