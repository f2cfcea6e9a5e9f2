package election

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/layout"
)

// Leaderless describes a duty that no instance carries out.
type Leaderless struct {
	Since time.Time // when this instance first observed it
	// HeldFor is the kind of the duty for which another duty's holder has the key; empty if the key has no holder.
	HeldFor layout.DutyKind
	// Holder is that holder, or an instance of an earlier version that may hold the duty; empty if there is none.
	Holder fleet.InstanceID
}

// Leaderless reports whether no instance carries out the duty, as far as is known: its key has no holder, or one that states
// another duty.
func (e *Election) Leaderless(duty layout.Duty) (Leaderless, bool) {
	key := layout.OwnerKey(duty)
	if since, vacant := e.vacancies.since(key); vacant {
		return Leaderless{Since: since, Holder: e.earlierHolder(duty)}, true
	}
	holder, since, held := e.vacancies.holder(key)
	if !held || holder.Kind == "" || holder.Kind == duty.Kind {
		return Leaderless{}, false
	}
	return Leaderless{Since: since, HeldFor: holder.Kind, Holder: holder.Instance}, true
}
