package logging

import (
	"bytes"
	"log"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/tarragonreach/tarragonreach/entry/settings"
)

func TestLevelChangesAtRunTime(t *testing.T) {
	out := &bytes.Buffer{}
	l, err := New(out, settings.Log{Level: "warn", Format: "json"}, settings.Instance{ID: "pa-1", Zone: "palermo"})
	assert.NilError(t, err)
	l.Info("unseen")
	assert.NilError(t, l.SetLevel("info"))
	l.Info("seen")
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("unseen")))
	assert.Assert(t, cmp.Contains(out.String(), `"instance":"pa-1"`))
	assert.ErrorContains(t, l.SetLevel("loud"), "want debug")
	assert.Equal(t, l.Level(), "INFO")
}

func TestStandardLogLinesAreTakenButForCountedOnes(t *testing.T) {
	out := &bytes.Buffer{}
	l, err := New(out, settings.Log{Level: "info", Format: "text"}, settings.Instance{})
	assert.NilError(t, err)
	l.RedirectStandardLoggers()
	log.Print(unsolicited + ` starting with "HTTP"`)
	log.Print("something else")
	assert.Assert(t, !bytes.Contains(out.Bytes(), []byte("Unsolicited")))
	assert.Assert(t, cmp.Contains(out.String(), "something else"))
}
