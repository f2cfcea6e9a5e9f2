package main

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var errExit = errors.New("exit status 1")

// eventLog builds the events of one package's run.
type eventLog struct{ text strings.Builder }

func (l *eventLog) add(action, test, output string) *eventLog {
	fmt.Fprintf(&l.text, "{\"Action\":%q,\"Package\":%q,\"Test\":%q,\"Output\":%q}\n",
		action, projectPath+"entry/dispatch", test, output)
	return l
}

// testEnded adds the output and the last event of a test.
func (l *eventLog) testEnded(test, action string) *eventLog {
	return l.add("output", test, "details of "+test+"\n").add(action, test, "")
}

// packageFailed adds the end of a failed package whose tests all ran to completion.
func (l *eventLog) packageFailed() *eventLog { return l.add("output", "", "FAIL\n").packageCrashed() }

// packageCrashed adds the end of a package whose test binary crashed.
func (l *eventLog) packageCrashed() *eventLog {
	return l.add("output", "", "FAIL\tentry/dispatch\t0.1s\n").add("fail", "", "")
}

func (l *eventLog) packagePassed() *eventLog {
	return l.add("output", "", "PASS\n").add("output", "", "ok  \tentry/dispatch\t0.1s\n").add("pass", "", "")
}

// evaluate evaluates a run with TestListed in the list and returns the printed output
// and the result.
func evaluate(t *testing.T, log *eventLog, commandErr error) (string, error) {
	t.Helper()
	listed, err := parseList("# comment\n\nentry/dispatch.TestListed: go test ./entry/dispatch; seen: red\n")
	assert.NilError(t, err)
	var printed bytes.Buffer
	v := newEvaluator(listed, &printed)
	assert.NilError(t, v.readEvents(strings.NewReader(log.text.String())))
	result := v.finish(commandErr)
	return printed.String(), result
}

func TestListedFailureIsToleratedAndPrinted(t *testing.T) {
	log := new(eventLog).testEnded("TestOther", "pass").testEnded("TestListed/part", "fail").testEnded("TestListed", "fail").packageFailed()
	printed, err := evaluate(t, log, errExit)
	assert.NilError(t, err)
	assert.Equal(t, printed, "details of TestListed/part\ndetails of TestListed\n"+
		"FAIL\nFAIL\tentry/dispatch\t0.1s\n"+
		"known red: entry/dispatch.TestListed failed\n")
}

func TestListedPassIsPrinted(t *testing.T) {
	printed, err := evaluate(t, new(eventLog).testEnded("TestListed", "pass").packagePassed(), nil)
	assert.NilError(t, err)
	assert.Equal(t, printed, "ok  \tentry/dispatch\t0.1s\nknown red: entry/dispatch.TestListed passed\n")
}

func TestListedTestThatDidNotRunIsPrinted(t *testing.T) {
	printed, err := evaluate(t, new(eventLog).packagePassed(), nil)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(printed, "known red: entry/dispatch.TestListed was not run\n"), printed)
}

func TestFailuresBeyondTheList(t *testing.T) {
	build := new(eventLog)
	build.text.WriteString(`{"Action":"build-fail","ImportPath":"p"}` + "\n")
	race := new(eventLog).add("output", "TestListed", "WARNING: DATA RACE\n").testEnded("TestListed", "fail").packageFailed()
	for name, c := range map[string]struct {
		log  *eventLog
		want string
	}{
		"unlisted test":         {new(eventLog).testEnded("TestListed", "fail").testEnded("TestOther", "fail").packageFailed(), "entry/dispatch.TestOther failed"},
		"unlisted test alone":   {new(eventLog).testEnded("TestOther", "fail").packageFailed(), "entry/dispatch.TestOther failed"},
		"longer name":           {new(eventLog).testEnded("TestListedAlso", "fail").packageFailed(), "entry/dispatch.TestListedAlso failed"},
		"listed test crashes":   {new(eventLog).testEnded("TestListed", "fail").packageCrashed(), "ended before all its tests did"},
		"crash without a test":  {new(eventLog).packageCrashed(), "ended before all its tests did"},
		"failure of TestMain":   {new(eventLog).testEnded("TestListed", "pass").packageFailed(), "ended before all its tests did"},
		"race in a listed test": {race, "has a data race"},
		"build":                 {build, "p does not build"},
		"the command itself":    {new(eventLog), "the test command: exit status 1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := evaluate(t, c.log, errExit)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestSameNameInAnotherPackageIsNotListed(t *testing.T) {
	log := new(eventLog).testEnded("TestListed", "fail").packageFailed()
	other := strings.ReplaceAll(log.text.String(), "entry/dispatch", "mesh/dispatch")
	log.text.Reset()
	log.text.WriteString(other)
	_, err := evaluate(t, log, errExit)
	assert.ErrorContains(t, err, "mesh/dispatch.TestListed failed")
}

func TestListRejectsMalformedLines(t *testing.T) {
	for _, line := range []string{"TestX: seed 2", "entry/dispatch.TestX seed 2", "entry/dispatch.TestX, seed 2: red", "entry/dispatch.: red", "*: all"} {
		_, err := parseList(line)
		assert.ErrorContains(t, err, "no entry of the form")
	}
}
