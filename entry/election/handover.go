package election

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/handover"
)

// handoverDelay is how long an instance that has handed over a duty leaves it to others: longer
// than the claim delay of any instance without duties.
const handoverDelay = 3 * time.Second

// Candidate is an instance that campaigns for the same duties.
type Candidate struct {
	Instance fleet.InstanceID
	Cores    float64 // CPU capacity; zero if unknown
}

// SetCandidates sets the function that returns the other instances that are known to run. It must be
// called before the first campaign.
func (e *Election) SetCandidates(candidates func() []Candidate) { e.candidates = candidates }

// HandOver makes the instance that holds the term leave the next claim of the duty to others. The holder
// returns from its lead function afterwards.
func (t Term) HandOver() {
	if t.handedOver == nil {
		return
	}
	t.handedOver.Store(true)
	now := time.Now()
	t.lastHandover.Store(&now)
}

// Successor returns an instance that could take over an overloaded duty: the one with the most CPU capacity among
// those that hold no duty and have sufficiently more than this one has for each of its duties. It returns false if there is none, if the
// last renewal of the term is not recent, so that the store may be out, or if the term, the previous one or
// the last handover of this instance began too short ago.
func (e *Election) Successor(t Term) (fleet.InstanceID, bool) {
	if e.candidates == nil || t.Age() > 2*renewInterval || !e.handoverAllowed(t, time.Now()) {
		return "", false
	}
	busy := e.vacancies.instances()
	duties := int(e.held.Load())
	candidates := slices.DeleteFunc(e.candidates(), func(c Candidate) bool {
		return busy[c.Instance] || c.Instance == e.instance || !handover.Sufficient(c.Cores, e.cores, duties)
	})
	if len(candidates) == 0 {
		return "", false
	}
	best := slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Cores, b.Cores), cmp.Compare(b.Instance, a.Instance))
	})
	return best.Instance, true
}

// handoverAllowed reports whether the term, the previous one of its duty and the last handover began long enough ago.
func (e *Election) handoverAllowed(t Term, now time.Time) bool {
	// The load of the duty that was handed over may have been the cause of the overload.
	if last := e.lastHandover.Load(); last != nil && now.Sub(*last) < handover.MinTerm {
		return false
	}
	began, previous := e.vacancies.lastTerms(layout.OwnerKey(t.Duty), kv.Revision(t.Token))
	return !began.IsZero() && now.Sub(began) >= handover.MinTerm && now.Sub(previous) >= handover.MinSpacing
}

// lastTerms returns when the term with the given token and the previous one of its duty were first observed; the
// zero time for a term that was not observed.
func (v *vacancies) lastTerms(key string, token kv.Revision) (began, previous time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, term := range v.terms[key] {
		switch {
		case term.token < token:
			previous = term.at
		case term.token == token:
			began = term.at
		}
	}
	return began, previous
}

// instances returns the instances that hold a duty.
func (v *vacancies) instances() map[fleet.InstanceID]bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	busy := make(map[fleet.InstanceID]bool, len(v.held))
	for key := range v.held {
		busy[v.holders[key].Instance] = true
	}
	return busy
}
