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
	ImportPath string // of a build
	Test       string
	Output     string
}

// packageRun is what one package's tests have done so far.
type packageRun struct {
	output   map[string][]string // by top-level test
	failed   []string            // top-level tests
	finished bool                // all tests ran to their end
	raced    bool
}

// passLine ends the output of a test binary; without -json, go test leaves it out.
const passLine = "PASS\n"

// judge follows the events of a run.
type judge struct {
	listed   []testName
	out      io.Writer
	packages map[string]*packageRun
	outcomes map[testName]string // of listed tests
	faults   []error             // failures that the list doesn't cover
	excused  int                 // packages in which listed tests alone failed
}

func newJudge(listed []testName, out io.Writer) *judge {
	return &judge{
		listed:   listed,
		out:      out,
		packages: map[string]*packageRun{},
		outcomes: map[testName]string{},
	}
}

// read takes all events of the run and prints the failures and the closing lines.
func (j *judge) read(events io.Reader) error {
	lines := bufio.NewReader(events)
	for {
		line, err := lines.ReadString('\n')
		j.line(line)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the events of the tests: %w", err)
		}
	}
}

// line takes an event; a line that is none is printed as it is.
func (j *judge) line(line string) {
	var e event
	if err := json.Unmarshal([]byte(line), &e); err != nil {
		j.print(line)
		return
	}
	switch {
	case e.Action == "build-output":
		j.print(e.Output)
	case e.Action == "build-fail":
		j.fault("%s does not build", e.ImportPath)
	case e.Test == "":
		j.packageEvent(e)
	default:
		j.testEvent(e)
	}
}

func (j *judge) packageEvent(e event) {
	p := j.packageOf(e)
	switch e.Action {
	case "output":
		p.noteOutput(e.Output)
		if e.Output != passLine {
			j.print(e.Output)
		}
	case "fail":
		j.packageFailed(e.Package, p)
	}
}

func (j *judge) testEvent(e event) {
	p := j.packageOf(e)
	top, _, isSubtest := strings.Cut(e.Test, "/")
	switch e.Action {
	case "output":
		p.noteOutput(e.Output)
		p.output[top] = append(p.output[top], e.Output)
	case "pass", "fail", "skip":
		if isSubtest {
			return
		}
		j.testEnded(testName{e.Package, top}, e.Action, p)
	}
}

func (j *judge) testEnded(name testName, action string, p *packageRun) {
	if action == "fail" {
		j.print(strings.Join(p.output[name.test], ""))
		p.failed = append(p.failed, name.test)
	}
	if slices.Contains(j.listed, name) {
		j.outcomes[name] = map[string]string{"pass": "passed", "fail": "failed", "skip": "was skipped"}[action]
	}
	delete(p.output, name.test)
}

func (j *judge) packageOf(e event) *packageRun {
	p := j.packages[e.Package]
	if p == nil {
		p = &packageRun{output: map[string][]string{}}
		j.packages[e.Package] = p
	}
	return p
}

// noteOutput looks for the line that the test binary prints once all tests have
// ended and some failed, and for a report of the race detector.
func (p *packageRun) noteOutput(output string) {
	p.finished = p.finished || output == "FAIL\n"
	p.raced = p.raced || strings.Contains(output, "WARNING: DATA RACE")
}

// packageFailed judges a failed package. It is passed over only if all its tests ran
// to their end, without a data race, and the listed ones alone failed.
func (j *judge) packageFailed(pkg string, p *packageRun) {
	before := len(j.faults)
	for _, test := range p.failed {
		name := testName{pkg, test}
		if !slices.Contains(j.listed, name) {
			j.fault("%s failed", name)
		}
	}
	if p.raced {
		j.fault("%s has a data race", pkg)
	}
	if !p.finished || len(p.failed) == 0 {
		j.fault("%s ended before all its tests did", pkg)
	}
	if len(j.faults) == before {
		j.excused++
	}
}

func (j *judge) fault(format string, values ...any) {
	j.faults = append(j.faults, fmt.Errorf(format, values...))
}

// verdict prints what became of the listed tests and returns the failures that the
// list doesn't cover; exit is how the test command ended.
func (j *judge) verdict(exit error) error {
	for _, name := range j.listed {
		outcome := cmp.Or(j.outcomes[name], "was not run")
		j.print(fmt.Sprintf("known red: %s %s\n", name, outcome))
	}
	if exit != nil && j.excused == 0 && len(j.faults) == 0 {
		j.fault("the test command: %w", exit)
	}
	return errors.Join(j.faults...)
}

func (j *judge) print(text string) {
	if _, err := io.WriteString(j.out, text); err != nil {
		j.fault("print the output of the tests: %w", err)
	}
}
