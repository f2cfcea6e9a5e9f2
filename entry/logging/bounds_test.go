package logging

import (
	"bytes"
	"errors"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/settings"
)

// Errors quote what another program has written, up to a megabyte: thousands of such lines in the queue
// of the log would take the memory of the process.
func TestLongTextsDoNotMakeLongLines(t *testing.T) {
	const huge = 1 << 20
	long := strings.Repeat("\xff€", huge/4)
	short := strings.Repeat("s", 100)
	for name, tc := range map[string]struct {
		value any
		want  string
	}{
		"text":       {long, "(1048576 bytes)"},
		"error":      {errors.New(long), "(1048576 bytes)"},
		"long list":  {[]string{short, long, short}, "and 2 more"},
		"first long": {[]string{long, short}, "and 1 more"},
		"many":       {strings.Split(strings.Repeat(short+",", huge/100), ","), "and 10446 more"},
		"short":      {short, short},
	} {
		out := &bytes.Buffer{}
		l, err := New(out, settings.Log{Level: "info", Format: "json"}, settings.Instance{ID: "pa-1", Zone: "palermo"})
		assert.NilError(t, err)
		l.Info("entry skipped", "what", tc.value)
		assert.Assert(t, out.Len() < 3*maxTextBytes, "%s: %d bytes", name, out.Len())
		assert.Assert(t, strings.Contains(out.String(), tc.want), "%s: %s", name, out.String())
	}
}
