package label

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestSelectorOperators(t *testing.T) {
	labels := Set{"rack": "r1", "kind": "gpu"}
	for _, tc := range []struct {
		selector string
		want     bool
	}{
		{"", true},
		{"rack=r1", true},
		{"rack==r1,kind!=cpu", true},
		{"kind in (cpu, gpu)", true},
		{"kind notin (gpu)", false},
		{"absent notin (x)", true},
		{"rack,!spare", true},
		{"!rack", false},
	} {
		sel, err := Parse(tc.selector)
		assert.NilError(t, err)
		assert.Equal(t, sel.Matches(labels), tc.want, tc.selector)
	}
}

func TestParseErrorsNameTheFault(t *testing.T) {
	for _, tc := range []struct{ selector, fault string }{
		{"kind within (a)", "unknown operator"},
		{"kind in (a", "want key in (a,b)"},
		{"=a", "empty key"},
		{"a b=c", "not allowed"},
		{"a=1,,b=2", "empty key"},
	} {
		_, err := Parse(tc.selector)
		assert.ErrorContains(t, err, tc.fault)
	}
}
