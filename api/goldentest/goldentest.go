// Package goldentest has the checks of golden files: stored or exchanged values that must decode
// and encode unchanged in every version.
package goldentest

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// ReadEntries returns the entries of a golden file, one a line: a name, a blank and its value.
func ReadEntries(t testing.TB, path string) map[string]string {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	entries := map[string]string{}
	for line := range strings.Lines(string(data)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), " ")
		entries[name] = value
	}
	return entries
}

// RoundTrip checks that stored decodes to want and that the decoded value encodes to stored.
func RoundTrip(t testing.TB, name string, stored []byte, want any, decode func([]byte, any) error, encode func(any) ([]byte, error)) {
	t.Helper()
	decoded := reflect.New(reflect.TypeOf(want))
	assert.NilError(t, decode(stored, decoded.Interface()), name)
	assert.DeepEqual(t, decoded.Elem().Interface(), want)
	encoded, err := encode(decoded.Elem().Interface())
	assert.NilError(t, err, name)
	assert.Equal(t, string(encoded), string(stored), name)
}
