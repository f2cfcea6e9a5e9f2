// Command knownred runs a `go test -json` command, prints what `go test` would print
// and compares the failures with KNOWN-RED.txt. Failures of listed tests are tolerated;
// any other failure makes the command fail.
//
//	go run ./tools/knownred go test -json -race work
package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
)

const listFile = "KNOWN-RED.txt"

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "knownred:", err)
		os.Exit(1)
	}
}

func run(command []string) error {
	if len(command) == 0 {
		return errors.New("missing argument: want the test command to run")
	}
	text, err := os.ReadFile(listFile)
	if err != nil {
		return err
	}
	listed, err := parseList(string(text))
	if err != nil {
		return err
	}
	tests := exec.Command(command[0], command[1:]...)
	tests.Stderr = os.Stderr
	events, err := tests.StdoutPipe()
	if err != nil {
		return err
	}
	if err := tests.Start(); err != nil {
		return err
	}
	v := newEvaluator(listed, os.Stdout)
	return errors.Join(v.readEvents(events), v.finish(tests.Wait()))
}
