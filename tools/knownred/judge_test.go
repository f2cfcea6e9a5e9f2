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

// history writes the events of one package's run.
type history struct{ text strings.Builder }

func (h *history) add(action, test, output string) *history {
	fmt.Fprintf(&h.text, "{\"Action\":%q,\"Package\":%q,\"Test\":%q,\"Output\":%q}\n",
		action, projectPath+"entry/dispatch", test, output)
	return h
}

// ended adds the end of a test.
func (h *history) ended(test, action string) *history {
	return h.add("output", test, "details of "+test+"\n").add(action, test, "")
}

// failed adds the end of a package whose tests ran to their end.
func (h *history) failed() *history { return h.add("output", "", "FAIL\n").crashed() }

// crashed adds the end of a package whose test binary died.
func (h *history) crashed() *history {
	return h.add("output", "", "FAIL\tentry/dispatch\t0.1s\n").add("fail", "", "")
}

func (h *history) passed() *history {
	return h.add("output", "", "PASS\n").add("output", "", "ok  \tentry/dispatch\t0.1s\n").add("pass", "", "")
}

// judged returns the verdict on a run with TestListed in the list, and what was printed.
func judged(t *testing.T, h *history, exit error) (string, error) {
	t.Helper()
	listed, err := parseList("# comment\n\nentry/dispatch.TestListed: go test ./entry/dispatch; seen: red\n")
	assert.NilError(t, err)
	var printed bytes.Buffer
	j := newJudge(listed, &printed)
	assert.NilError(t, j.read(strings.NewReader(h.text.String())))
	verdict := j.verdict(exit)
	return printed.String(), verdict
}

func TestListedFailureIsPassedOverAndPrinted(t *testing.T) {
	h := new(history).ended("TestOther", "pass").ended("TestListed/part", "fail").ended("TestListed", "fail").failed()
	printed, err := judged(t, h, errExit)
	assert.NilError(t, err)
	assert.Equal(t, printed, "details of TestListed/part\ndetails of TestListed\n"+
		"FAIL\nFAIL\tentry/dispatch\t0.1s\n"+
		"known red: entry/dispatch.TestListed failed\n")
}

func TestListedPassIsPrinted(t *testing.T) {
	printed, err := judged(t, new(history).ended("TestListed", "pass").passed(), nil)
	assert.NilError(t, err)
	assert.Equal(t, printed, "ok  \tentry/dispatch\t0.1s\nknown red: entry/dispatch.TestListed passed\n")
}

func TestListedTestThatDidNotRunIsPrinted(t *testing.T) {
	printed, err := judged(t, new(history).passed(), nil)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(printed, "known red: entry/dispatch.TestListed was not run\n"), printed)
}

func TestFailuresBeyondTheList(t *testing.T) {
	build := new(history)
	build.text.WriteString(`{"Action":"build-fail","ImportPath":"p"}` + "\n")
	race := new(history).add("output", "TestListed", "WARNING: DATA RACE\n").ended("TestListed", "fail").failed()
	for name, c := range map[string]struct {
		h    *history
		want string
	}{
		"unlisted test":         {new(history).ended("TestListed", "fail").ended("TestOther", "fail").failed(), "entry/dispatch.TestOther failed"},
		"unlisted test alone":   {new(history).ended("TestOther", "fail").failed(), "entry/dispatch.TestOther failed"},
		"longer name":           {new(history).ended("TestListedAlso", "fail").failed(), "entry/dispatch.TestListedAlso failed"},
		"listed test crashes":   {new(history).ended("TestListed", "fail").crashed(), "ended before all its tests did"},
		"crash without a test":  {new(history).crashed(), "ended before all its tests did"},
		"failure of TestMain":   {new(history).ended("TestListed", "pass").failed(), "ended before all its tests did"},
		"race in a listed test": {race, "has a data race"},
		"build":                 {build, "p does not build"},
		"the command itself":    {new(history), "the test command: exit status 1"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := judged(t, c.h, errExit)
			assert.ErrorContains(t, err, c.want)
		})
	}
}

func TestSameNameInAnotherPackageIsNotListed(t *testing.T) {
	h := new(history).ended("TestListed", "fail").failed()
	other := strings.ReplaceAll(h.text.String(), "entry/dispatch", "mesh/dispatch")
	h.text.Reset()
	h.text.WriteString(other)
	_, err := judged(t, h, errExit)
	assert.ErrorContains(t, err, "mesh/dispatch.TestListed failed")
}

func TestListRefusesOtherForms(t *testing.T) {
	for _, line := range []string{"TestX: seed 2", "entry/dispatch.TestX seed 2", "entry/dispatch.TestX, seed 2: red", "entry/dispatch.: red", "*: all"} {
		_, err := parseList(line)
		assert.ErrorContains(t, err, "no entry of the form")
	}
}
