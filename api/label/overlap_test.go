package label

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"
)

func TestOverlap(t *testing.T) {
	cases := []struct {
		a, b string
		want bool
	}{
		{"", "", true},
		{"kind=cpu", "kind=gpu", false},
		{"kind=cpu", "rack=r1", true},
		{"kind in (cpu,gpu)", "kind in (gpu,tpu)", true},
		{"kind in (cpu,gpu)", "kind notin (cpu,gpu)", false},
		{"kind!=cpu", "kind", true},
		{"kind", "!kind", false},
		{"!kind", "kind!=cpu", true},
	}
	for _, c := range cases {
		a, err := Parse(c.a)
		assert.NilError(t, err)
		b, err := Parse(c.b)
		assert.NilError(t, err)
		assert.Equal(t, Overlap(a, b), c.want, "%q and %q", c.a, c.b)
	}
}

// TestOverlapMatchesEnumeration compares Overlap with trying all label sets with two keys
// and a few values.
func TestOverlapMatchesEnumeration(t *testing.T) {
	values := []string{"", "1", "2", "3"} // "" stands for an absent label; no requirement lists "3"
	requirement := rapid.Custom(func(t *rapid.T) Requirement {
		return Requirement{
			Key:      rapid.SampledFrom([]string{"a", "b"}).Draw(t, "key"),
			Operator: rapid.SampledFrom([]Operator{Equals, NotEquals, In, NotIn, Exists, NotExists}).Draw(t, "operator"),
			Values:   rapid.SliceOfN(rapid.SampledFrom([]string{"1", "2"}), 1, 2).Draw(t, "values"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a := Selector{rapid.SliceOfN(requirement, 0, 3).Draw(t, "first")}
		b := Selector{rapid.SliceOfN(requirement, 0, 3).Draw(t, "second")}
		found := false
		for _, x := range values {
			for _, y := range values {
				set := Set{}
				if x != "" {
					set["a"] = x
				}
				if y != "" {
					set["b"] = y
				}
				found = found || (a.Matches(set) && b.Matches(set))
			}
		}
		assert.Equal(t, Overlap(a, b), found)
	})
}
