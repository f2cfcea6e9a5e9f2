package object

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const editText = `{
  // Quick checks at the counter.
  "revision": 7,
  "services": [{"name": "terreni", "slots": 8, "connections": 64}],
  "classes": [{"name": "check", "priority": 10, "timeout": "2s"}],
  "delete": ["Pool/old"],
}`

func TestParseAcceptsCommentsAndTrailingCommas(t *testing.T) {
	edit, err := Parse([]byte(editText))
	assert.NilError(t, err)
	assert.Equal(t, edit.Revision, Revision(7))
	assert.Equal(t, edit.Put.Services[0].Slots, 8)
	assert.DeepEqual(t, edit.Delete, []Key{{KindPool, "old"}})
}

func TestParseReportsEveryFaultWithItsPosition(t *testing.T) {
	text := `{
  "services": [{"name": "terreni", "slotz": 8}, {"name": "terreni"}],
  "classes": [{"name": "check", "timeout": "soon"}],
  "pools": [{"name": "a", "budget": {"minHealthy": "120%"}}],
  "delete": ["Pool", "Service/terreni"]
}`
	_, err := Parse([]byte(text))
	for _, want := range []string{
		"2:36: services.0.slotz: unknown field",
		"2:58: services.1.name: Service/terreni is listed twice",
		"3:44: classes.0.timeout: ",
		"4:52: pools.0.budget.minHealthy: amount",
		"5:14: delete.0: \"Pool\": want Kind/name",
		"5:22: delete.1: Service/terreni is listed twice",
	} {
		assert.ErrorContains(t, err, want)
	}
}

func TestParseRefusesMalformedAndOversizedText(t *testing.T) {
	_, err := Parse([]byte("{\n  \"services\": [\n}"))
	assert.ErrorContains(t, err, "3:1: not JSON")
	_, err = Parse([]byte(strings.Repeat(" ", MaxEditBytes+1)))
	assert.ErrorContains(t, err, "the limit is 524288")
	_, err = Parse(nil)
	assert.Assert(t, err != nil)
}

func TestLocateReturnsPositionsOfFindings(t *testing.T) {
	edit, err := Parse([]byte(editText))
	assert.NilError(t, err)
	faults := edit.Locate([]Finding{
		{Key: Key{KindClass, "check"}, Field: "timeout", Problem: "late"},
		{Key: Key{KindService, "terreni"}, Field: "slots", Problem: "few"},
		{Key: Key{KindPool, "old"}, Problem: "in use"},
		{Problem: "empty"},
	})
	assert.Error(t, faults, "1:1: empty\n4:45: Service/terreni slots: few\n"+
		"5:60: Class/check timeout: late\n6:14: Pool/old: in use")
}

// FuzzParse checks that every edit that parses can be validated, and its faults located,
// without a panic, and that its objects have no kind or field that is not supported.
func FuzzParse(f *testing.F) {
	f.Add([]byte(editText))
	f.Add([]byte(`{"jobs": [{"name": "j", "deadline": "2026-01-01T00:00:00Z"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		edit, err := Parse(text)
		if err != nil {
			return
		}
		report := ValidateChange(&Config{}, Change{ID: "a", Put: edit.Put, Delete: edit.Delete}, nil)
		edit.Locate(report.Faults)
		items, err := edit.Put.Items()
		assert.NilError(t, err)
		for _, item := range items {
			assert.NilError(t, item.CheckSupported())
		}
	})
}
