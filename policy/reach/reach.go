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

// silentShare is the smallest share of silent instances, among those of which anything is known, that tells a cut from an
// instance that has ended. A caller with five attempts at random instances, of which that share can answer, is answered
// with a probability of 0.83.
const silentShare = 0.3

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
		CutOff:      !passOn && (all.suggestsCut() || zone.suggestsCut()),
		RetryAtOnce: zone[Serving] > 0 || zone.suggestsCut(),
	}
}

// tally counts instances by state.
type tally [Silent + 1]int

func (t *tally) add(s State) { t[s]++ }

// suggestsCut reports whether many instances are silent.
func (t *tally) suggestsCut() bool {
	known := t[Serving] + t[Refusing] + t[Silent]
	return known > 0 && float64(t[Silent]) >= silentShare*float64(known)
}
