package submission

import (
	"context"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/platform"
)

// leaseRotations is how many leases cover one retention. A lease is never
// renewed: claims are put under it for one part of the retention, and it lapses
// with all its claims when the last of them has lasted the whole retention.
const leaseRotations = 16

// claimLease is a lease under which claims are put.
type claimLease struct {
	id      platform.LeaseID
	granted time.Time // before the call that granted it
}

// leases hands out the lease for claims made now.
type leases struct {
	store     platform.Store
	retention time.Duration

	mu      sync.Mutex
	current claimLease
}

func (l *leases) rotation() time.Duration { return l.retention / leaseRotations }

// ttl leaves one rotation for use and one for claims that are slow to be made.
func (l *leases) ttl() time.Duration { return l.retention + 2*l.rotation() }

// get returns the current lease, or false if a new one has to be granted.
func (l *leases) get(now time.Time) (claimLease, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current, l.current.id != 0 && elapsed(l.current.granted, now) < l.rotation()
}

// renew grants a new lease. Two at once may each grant one, of which one is unused.
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

// forget drops a lease that the store no longer knows.
func (l *leases) discard(lost claimLease) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.current.id == lost.id {
		l.current = claimLease{}
	}
}

// covers reports whether a claim made by now under the lease lasts the retention.
func (l *leases) covers(lease claimLease, now time.Time) bool {
	return elapsed(lease.granted, now) < 2*l.rotation()
}

// elapsed returns the longer of the times by the monotonic and by the wall clock,
// since the former may stand still while the instance is paused.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
