package reach

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func peersOf(sameZone bool, s State, n int) []Peer {
	return slices.Repeat([]Peer{{SameZone: sameZone, State: s}}, n)
}

// Guards against instances that take an outage of the store for a cut and use up the callers' attempts, or the reverse.
func TestAssess(t *testing.T) {
	for name, c := range map[string]struct {
		peers [][]Peer
		want  Assessment
	}{
		"nothing known":              {[][]Peer{peersOf(true, Unknown, 9)}, Assessment{}},
		"store down for all":         {[][]Peer{peersOf(true, Refusing, 8), peersOf(false, Refusing, 23)}, Assessment{}},
		"store down, one has ended":  {[][]Peer{peersOf(true, Refusing, 3), peersOf(true, Silent, 1)}, Assessment{}},
		"store down, a zone lost":    {[][]Peer{peersOf(true, Refusing, 3), peersOf(false, Refusing, 4), peersOf(false, Silent, 4)}, Assessment{}},
		"store down, one elsewhere":  {[][]Peer{peersOf(true, Refusing, 2), peersOf(false, Silent, 1)}, Assessment{}},
		"the only other has ended":   {[][]Peer{peersOf(true, Silent, 1)}, Assessment{}},
		"turned away by the store":   {[][]Peer{peersOf(true, Refusing, 7), peersOf(true, Serving, 1)}, Assessment{PassOn: true, RetryAtOnce: true}},
		"the zone is turned away":    {[][]Peer{peersOf(true, Refusing, 8), peersOf(false, Serving, 1)}, Assessment{PassOn: true}},
		"cut off from all":           {[][]Peer{peersOf(true, Silent, 8), peersOf(false, Silent, 8)}, Assessment{CutOff: true, RetryAtOnce: true}},
		"cut off with five of eight": {[][]Peer{peersOf(true, Refusing, 5), peersOf(true, Silent, 3)}, Assessment{CutOff: true, RetryAtOnce: true}},
		"cut off with most known":    {[][]Peer{peersOf(true, Refusing, 4), peersOf(true, Silent, 2), peersOf(false, Refusing, 2)}, Assessment{CutOff: true, RetryAtOnce: true}},
		"cut off with the zone":      {[][]Peer{peersOf(true, Refusing, 8), peersOf(false, Silent, 23)}, Assessment{CutOff: true}},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, Assess(slices.Concat(c.peers...)), c.want)
		})
	}
}

// Guards against an instance that refuses a request at once though it knows one that can answer, and against
// conclusions from instances of which nothing is known.
func TestAssessmentIsConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		peers := rapid.SliceOf(rapid.Custom(func(t *rapid.T) Peer {
			return Peer{SameZone: rapid.Bool().Draw(t, "zone"), State: State(rapid.IntRange(0, int(Silent)).Draw(t, "state"))}
		})).Draw(t, "peers")
		a := Assess(peers)
		assert.Assert(t, !a.CutOff || !a.PassOn)
		assert.Assert(t, !a.RetryAtOnce || a.PassOn || a.CutOff)
		known := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.State == Unknown })
		assert.Equal(t, a, Assess(known))
	})
}
