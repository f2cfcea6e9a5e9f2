package election

import (
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/follow"
)

// vacancies knows which duties have a holder, and since when the others have none. It is
// safe for concurrent use.
type vacancies struct {
	mu       sync.Mutex
	loadedAt time.Time            // of the first listing; zero before
	held     map[string]bool      // by key
	vacated  map[string]time.Time // by key: when its holder was seen to be gone
}

func newVacancies() *vacancies {
	return &vacancies{held: map[string]bool{}, vacated: map[string]time.Time{}}
}

// apply takes a change in, and reports whether it was the first listing.
func (v *vacancies) apply(c follow.Change, now time.Time) (first bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Reset {
		first = v.loadedAt.IsZero()
		v.reset(c, now)
		return first
	}
	for _, event := range c.Events {
		if event.Removed {
			v.vacate(event.Key, now)
		} else {
			v.held[event.Key] = true
		}
	}
	return false
}

// reset takes in a listing: the holders that it lacks are gone.
func (v *vacancies) reset(c follow.Change, now time.Time) {
	if v.loadedAt.IsZero() {
		v.loadedAt = now
	}
	listed := make(map[string]bool, len(c.Events))
	for _, event := range c.Events {
		listed[event.Key] = true
	}
	for key := range v.held {
		if !listed[key] {
			v.vacate(key, now)
		}
	}
	v.held = listed
}

func (v *vacancies) vacate(key string, now time.Time) {
	if !v.held[key] {
		return
	}
	delete(v.held, key)
	v.vacated[key] = now
}

// since returns since when a duty is known to have no holder, and whether it has none.
func (v *vacancies) since(key string) (since time.Time, vacant bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.loadedAt.IsZero() || v.held[key] {
		return time.Time{}, false
	}
	if at, seen := v.vacated[key]; seen {
		return at, true
	}
	return v.loadedAt, true
}
