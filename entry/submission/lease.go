package submission

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
)

// leaseRotations is how many leases cover one retention. A lease is never renewed:
// claims are attached to it for one rotation, and it expires with all its claims
// once the last of them has lasted for the whole retention.
const leaseRotations = 16

// claimLease is a lease to which claims are attached.
type claimLease struct {
	id      platform.LeaseID
	granted time.Time // time before the call that granted it
}

// leases provides the lease for claims created now.
type leases struct {
	store     platform.Store
	retention time.Duration

	mu      sync.Mutex
	current claimLease
}

// rotation returns how long new claims are attached to one lease.
func (l *leases) rotation() time.Duration { return l.retention / leaseRotations }

// ttl adds two rotations to the retention: one in which claims are attached, and
// one for claims that take long to be created.
func (l *leases) ttl() time.Duration { return l.retention + 2*l.rotation() }

// get returns the current lease, or false if a new one has to be granted.
func (l *leases) get(now time.Time) (claimLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.current.id != 0 && elapsed(l.current.granted, now) < l.rotation()
}

// grant obtains a new lease and makes it the current one. Two concurrent calls may
// each obtain one, of which one is not used by later claims.
func (l *leases) grant(ctx context.Context, now time.Time) (claimLease, error) {
	id, err := l.store.Grant(ctx, l.ttl())
	if err != nil {
		return claimLease{}, err
	}
	fresh := claimLease{id: id, granted: now}
	l.mu.Lock()
	defer l.mu.Unlock()
	if fresh.granted.After(l.current.granted) {
		l.current = fresh
	}
	return fresh, nil
}

// discard drops a lease that the store no longer has.
func (l *leases) discard(lost claimLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.id == lost.id {
		l.current = claimLease{}
	}
}

// covers reports whether a claim created under the lease by now lasts for the whole
// retention.
func (l *leases) covers(lease claimLease, now time.Time) bool {
	return elapsed(lease.granted, now) < 2*l.rotation()
}

// elapsed returns the longer of the durations by the monotonic and by the wall
// clock, since the monotonic clock may stop while the instance is paused.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
