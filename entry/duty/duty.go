// Package duty elects one entry instance of an availability zone at a time for a duty,
// under a lease of the platform's store.
//
// The holder stops acting by its own clock well before its lease can expire. A holder that
// was paused, or whose lease the store ended early, may act after its term. Its effects are
// fenced: store writes by Fence, worker commands by the epoch.
package duty

import (
	"fmt"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// keyPrefix is the prefix of the keys of duties in the store.
const keyPrefix = "duties/"

// Key returns the store's key of a duty.
func Key(zone fleet.AvailabilityZone, name string) string {
	return fmt.Sprintf("%s%s/%s", keyPrefix, zone, name)
}

// Term is the period for which this process holds a duty.
type Term struct {
	// Name is the duty's name.
	Name string
	// Epoch grows with each term of the duty. Workers refuse epochs lower than the highest
	// they have seen.
	Epoch int64
	// Since is when this process acquired the duty.
	Since time.Time

	key    string
	window *window
}

// Valid reports whether the term is valid at now, which must be a fresh reading of the
// clock. Check it after reading and right before each effect.
func (t Term) Valid(now time.Time) bool { return t.window != nil && t.window.valid(now) }

// window is the time for which a term is valid after the last renewal.
type window struct {
	length    time.Duration
	renewedAt atomic.Pointer[time.Time] // when the last successful renewal was sent
	ended     atomic.Bool
}

func newWindow(from time.Time, length time.Duration) *window {
	w := &window{length: length}
	w.renew(from)
	return w
}

func (w *window) renew(from time.Time) { w.renewedAt.Store(&from) }

func (w *window) end() { w.ended.Store(true) }

// valid compares both the monotonic and the wall clock, because the monotonic clock may
// stop while the machine is suspended.
func (w *window) valid(now time.Time) bool {
	from := *w.renewedAt.Load()
	return !w.ended.Load() && now.Sub(from) < w.length && now.Round(0).Sub(from.Round(0)) < w.length
}

// remaining returns the time until the window ends.
func (w *window) remaining(now time.Time) time.Duration {
	return w.length - now.Sub(*w.renewedAt.Load())
}
