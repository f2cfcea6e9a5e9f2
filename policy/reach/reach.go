// Package reach judges by what an instance knows of the others whether it is cut off from them, and whether its
// callers do better elsewhere. The package is pure.
package reach

// State is what is known of another instance.
type State uint8

// States of other instances.
const (
	Unknown  State = iota
	Serving        // it can answer callers
	Refusing       // it responds, and can't answer callers either
	Silent         // it does not respond
)

// Peer is another instance.
type Peer struct {
	SameZone bool // as the instance that judges
	State    State
}

// Assessment is what an instance that the store does not serve concludes from the others.
type Assessment struct {
	// PassOn says that an instance can answer requests that are passed on to it.
	PassOn bool
	// CutOff says that none is known that can, and that so many, in all or in the zone, are silent that the network
	// between them and this instance is the likely cause: it can do nothing for callers.
	CutOff bool
	// RetryAtOnce says that callers, whose next attempt is made at another instance of the zone, should not wait:
	// others there can answer them, or may since they are on the other side of the cut.
	RetryAtOnce bool
}

const (
	// zoneSilentShare is the smallest share of silent instances of the own zone, among those of which anything is known,
	// that tells a cut from instances that have ended. A caller with five attempts at random instances, of which that
	// share can answer, is answered with a probability of 0.83.
	zoneSilentShare = 0.3
	// allSilentShare is the same for the instances of all zones. It is higher: one zone of three may be lost.
	allSilentShare = 0.5
	// minSilent is the smallest number of silent instances that tells a cut: one may have ended.
	minSilent = 2
)

// Assess judges the other instances. Of those without a known state it assumes nothing.
func Assess(peers []Peer) Assessment {
	var all, zone tally
	for _, p := range peers {
		all.add(p.State)
		if p.SameZone {
			zone.add(p.State)
		}
	}
	passOn := all[Serving] > 0
	return Assessment{
		PassOn:      passOn,
		CutOff:      !passOn && (all.suggestsCut(allSilentShare) || zone.suggestsCut(zoneSilentShare)),
		RetryAtOnce: zone[Serving] > 0 || zone.suggestsCut(zoneSilentShare),
	}
}

// tally counts instances by state.
type tally [Silent + 1]int

func (t *tally) add(s State) { t[s]++ }

// suggestsCut reports whether at least the given share of the instances is silent.
func (t *tally) suggestsCut(share float64) bool {
	known := t[Serving] + t[Refusing] + t[Silent]
	return t[Silent] >= minSilent && float64(t[Silent]) >= share*float64(known)
}
