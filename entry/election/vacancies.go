package election

import (
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// vacancies records which duties have a holder, and since when the others are vacant. It is
// safe for concurrent use.
type vacancies struct {
	mu       sync.Mutex
	loadedAt time.Time                // of the first listing; zero before
	held     map[string]bool          // by key
	holders  map[string]layout.Holder // by key: the last holder; the zero value if its entry is not readable
	vacated  map[string]time.Time     // by key: when the removal of its holder was observed
	terms    map[string][]termStart   // by key: the last terms, oldest first
}

// termStart is when a term was first observed. Its token is the revision at which the
// holder's key was created.
type termStart struct {
	token kv.Revision
	at    time.Time
}

// maxTermStarts bounds the terms of a duty that are remembered.
const maxTermStarts = 16

func newVacancies() *vacancies {
	return &vacancies{held: map[string]bool{}, holders: map[string]layout.Holder{}, vacated: map[string]time.Time{}, terms: map[string][]termStart{}}
}

// apply applies a change and reports whether it was the first listing.
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
			v.recordHolder(event.Item)
			v.recordTerm(event.Item, now)
		}
	}
	return false
}

// reset applies a listing: duties that are missing from it have become vacant.
func (v *vacancies) reset(c follow.Change, now time.Time) {
	if v.loadedAt.IsZero() {
		v.loadedAt = now
	}
	listed := make(map[string]bool, len(c.Events))
	for _, event := range c.Events {
		listed[event.Key] = true
		v.recordHolder(event.Item)
		v.recordTerm(event.Item, now)
	}
	for key := range v.held {
		if !listed[key] {
			v.vacate(key, now)
		}
	}
	v.held = listed
}

// recordTerm records a term that is observed for the first time.
func (v *vacancies) recordTerm(holder kv.Item, now time.Time) {
	terms := v.terms[holder.Key]
	if n := len(terms); n > 0 && holder.Created <= terms[n-1].token {
		return
	}
	terms = append(terms, termStart{holder.Created, now})
	v.terms[holder.Key] = terms[max(0, len(terms)-maxTermStarts):]
}

// began returns when a term was first observed, and whether it is remembered.
func (v *vacancies) began(key string, token kv.Revision) (time.Time, bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, term := range v.terms[key] {
		if term.token == token {
			return term.at, true
		}
	}
	return time.Time{}, false
}

func (v *vacancies) vacate(key string, now time.Time) {
	if !v.held[key] {
		return
	}
	delete(v.held, key)
	v.vacated[key] = now
}

// since returns the time from which a duty is known to be vacant, and whether it is vacant.
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

// recordHolder records the holder of a duty.
func (v *vacancies) recordHolder(item kv.Item) {
	holder, _ := layout.Decode[layout.Holder](item.Key, item.Value) // Follow logs entries that are not readable
	v.holders[item.Key] = holder
}

// holder returns the holder of a duty, and when its term was first observed; false if there is none.
func (v *vacancies) holder(key string) (holder layout.Holder, since time.Time, held bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if terms := v.terms[key]; len(terms) > 0 {
		since = terms[len(terms)-1].at
	}
	return v.holders[key], since, v.held[key]
}
