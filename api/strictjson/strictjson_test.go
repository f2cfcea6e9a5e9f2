package strictjson

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

type inner struct {
	Port int `json:"port"`
}

type sample struct {
	Name  string            `json:"name"`
	Inner *inner            `json:"inner"`
	List  []inner           `json:"list"`
	Tags  map[string]string `json:"tags"`
}

func TestDecodeReadsCommentsAndNestedValues(t *testing.T) {
	var got sample
	_, err := Decode([]byte("{ // note\n\"name\": \"a\", \"inner\": {\"port\": 1}, \"list\": [{\"port\": 2}], \"tags\": {\"k\": \"v\"},}"), &got)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, sample{Name: "a", Inner: &inner{1}, List: []inner{{2}}, Tags: map[string]string{"k": "v"}})
}

func TestDecodeReportsEveryFault(t *testing.T) {
	var got sample
	text := "{\n  \"name\": 3,\n  \"inner\": {\"prot\": 1},\n  \"list\": [{\"port\": \"x\"}],\n  \"name\": \"b\"\n}"
	_, err := Decode([]byte(text), &got)
	assert.Error(t, err, "2:11: name: got a number, want a string\n"+
		"3:13: inner.prot: unknown field; known fields: port\n"+
		"4:21: list.0.port: got a string, want a whole number\n"+
		"5:3: name: duplicate field")
}

func TestDecodeReportsPositionOfSyntaxError(t *testing.T) {
	var got sample
	_, err := Decode([]byte("{\n  \"name\" 3\n}"), &got)
	assert.ErrorContains(t, err, "2:10: not JSON")
}

func TestReportUsesPositionOfNearestEnclosingValue(t *testing.T) {
	var got sample
	doc, err := Decode([]byte("{\n  \"inner\": {}\n}"), &got)
	assert.NilError(t, err)
	doc.Report("/inner/port", "want a port")
	assert.Error(t, doc.Err(), "2:12: inner.port: want a port")
}

func TestDecodeRefusesDeepNesting(t *testing.T) {
	var got sample
	for _, nested := range []string{"[", "{\"a\":", "/* \" */ [", "// \"\n["} {
		_, err := Decode([]byte(strings.Repeat(nested, 100_000)), &got)
		assert.ErrorContains(t, err, "values nest deeper than 32")
	}
	_, err := Decode([]byte("{\"name\": \""+strings.Repeat("[", 100)+"\\\"[\"}"), &got)
	assert.NilError(t, err)
	assert.Equal(t, got.Name, strings.Repeat("[", 100)+"\"[")
}

// FuzzDecode checks that no text makes Decode panic or return neither a document nor an
// error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("{\"name\": \"a\", \"list\": [{}]}"))
	f.Fuzz(func(t *testing.T, text []byte) {
		var got sample
		doc, err := Decode(text, &got)
		assert.Assert(t, doc != nil || err != nil)
	})
}
