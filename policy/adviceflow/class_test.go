package adviceflow

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// LOST: requests that never bring a start went first for ever. Whatever else waits, each class must get its share of the
// requests while it waits: half of them the most urgent one, a fourth any other.
func TestEachClassGetsItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var turns Turns
		var waited [Classes]int
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			var waiting [Classes]bool
			for c := range waiting {
				waiting[c] = rapid.IntRange(0, 4).Draw(t, "waits") > 0
			}
			class, found := turns.Next(waiting)
			assert.Equal(t, found, waiting != [Classes]bool{})
			if !found {
				continue
			}
			assert.Assert(t, waiting[class])
			turns.Took(class)
			for c := range waited {
				waited[c]++
				if !waiting[c] || Class(c) == class {
					waited[c] = 0
				}
			}
			assert.Assert(t, waited[Startable] <= 2, "%d requests of others", waited[Startable])
			assert.Assert(t, max(waited[Repeated], waited[Ahead]) <= turnInterval, "%v requests of others", waited)
		}
	})
}
