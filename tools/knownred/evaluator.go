package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
)

// event is one line of `go test -json`.
type event struct {
	Action     string
	Package    string
	ImportPath string // set on build events instead of Package
	Test       string
	Output     string
}

// packageRun is the state of the tests of one package.
type packageRun struct {
	output   map[string][]string // by top-level test
	failed   []string            // top-level tests
	finished bool                // all tests ran to completion and some failed
	raced    bool
}

// passLine ends the output of a test binary that passed. Without -json, go test does
// not print it.
const passLine = "PASS\n"

// evaluator processes the events of a run and decides which failures count.
type evaluator struct {
	listed            []testName
	out               io.Writer
	packages          map[string]*packageRun
	outcomes          map[testName]string // of listed tests
	failures          []error             // failures that the list doesn't cover
	toleratedPackages int                 // failed packages of which only listed tests failed
}

func newEvaluator(listed []testName, out io.Writer) *evaluator {
	return &evaluator{
		listed:   listed,
		out:      out,
		packages: map[string]*packageRun{},
		outcomes: map[testName]string{},
	}
}

// readEvents processes all events of the run and prints the output of failed tests and
// of packages.
func (v *evaluator) readEvents(events io.Reader) error {
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadString('\n')
		v.handleLine(line)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the events of the tests: %w", err)
		}
	}
}

// handleLine processes one line; a line that is not an event is printed unchanged.
func (v *evaluator) handleLine(line string) {
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		v.print(line)
		return
	}
	switch {
	case e.Action == "build-output":
		v.print(e.Output)
	case e.Action == "build-fail":
		v.addFailure("%s does not build", e.ImportPath)
	case e.Test == "":
		v.handlePackageEvent(e)
	default:
		v.handleTestEvent(e)
	}
}

func (v *evaluator) handlePackageEvent(e event) {
	p := v.packageOf(e)
	switch e.Action {
	case "output":
		p.scanOutput(e.Output)
		if e.Output != passLine {
			v.print(e.Output)
		}
	case "fail":
		v.evaluatePackage(e.Package, p)
	}
}

func (v *evaluator) handleTestEvent(e event) {
	p := v.packageOf(e)
	top, _, isSubtest := strings.Cut(e.Test, "/")
	switch e.Action {
	case "output":
		p.scanOutput(e.Output)
		p.output[top] = append(p.output[top], e.Output)
	case "pass", "fail", "skip":
		if isSubtest {
			return
		}
		v.recordTest(testName{e.Package, top}, e.Action, p)
	}
}

func (v *evaluator) recordTest(name testName, action string, p *packageRun) {
	if action == "fail" {
		v.print(strings.Join(p.output[name.test], ""))
		p.failed = append(p.failed, name.test)
	}
	if slices.Contains(v.listed, name) {
		v.outcomes[name] = map[string]string{"pass": "passed", "fail": "failed", "skip": "was skipped"}[action]
	}
	delete(p.output, name.test)
}

func (v *evaluator) packageOf(e event) *packageRun {
	p := v.packages[e.Package]
	if p == nil {
		p = &packageRun{output: map[string][]string{}}
		v.packages[e.Package] = p
	}
	return p
}

// scanOutput looks for the line that the test binary prints after all tests have ended
// and some failed, and for a report of the race detector.
func (p *packageRun) scanOutput(output string) {
	p.finished = p.finished || output == "FAIL\n"
	p.raced = p.raced || strings.Contains(output, "WARNING: DATA RACE")
}

// evaluatePackage evaluates a failed package. Its failure is tolerated only if all its
// tests ran to completion without a data race and only listed tests failed.
func (v *evaluator) evaluatePackage(pkg string, p *packageRun) {
	before := len(v.failures)
	for _, test := range p.failed {
		name := testName{pkg, test}
		if !slices.Contains(v.listed, name) {
			v.addFailure("%s failed", name)
		}
	}
	if p.raced {
		v.addFailure("%s has a data race", pkg)
	}
	if !p.finished || len(p.failed) == 0 {
		v.addFailure("%s ended before all its tests did", pkg)
	}
	if len(v.failures) == before {
		v.toleratedPackages++
	}
}

func (v *evaluator) addFailure(format string, values ...any) {
	v.failures = append(v.failures, fmt.Errorf(format, values...))
}

// finish prints the outcomes of the listed tests and returns the failures that the list
// doesn't cover. commandErr, the exit error of the test command, is one of them only if
// no event explains it.
func (v *evaluator) finish(commandErr error) error {
	for _, name := range v.listed {
		outcome := cmp.Or(v.outcomes[name], "was not run")
		v.print(fmt.Sprintf("known red: %s %s\n", name, outcome))
	}
	if commandErr != nil && v.toleratedPackages == 0 && len(v.failures) == 0 {
		v.addFailure("the test command: %w", commandErr)
	}
	return errors.Join(v.failures...)
}

func (v *evaluator) print(text string) {
	if _, err := io.WriteString(v.out, text); err != nil {
		v.addFailure("print the output of the tests: %w", err)
	}
}
