package main

import (
	"fmt"
	"strings"
)

// projectPath is the common prefix of the import paths of all modules.
const projectPath = "github.com/tarragonreach/tarragonreach/"

// testName identifies a top-level test or benchmark.
type testName struct {
	pkg  string // import path
	test string
}

func (n testName) String() string { return strings.TrimPrefix(n.pkg, projectPath) + "." + n.test }

// parseList parses the list. Each entry is a line that begins with the package's
// directory, a dot, the name of the test and a colon; empty lines and lines that begin
// with # are skipped.
func parseList(text string) ([]testName, error) {
	var listed []testName
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, _, found := strings.Cut(line, ":")
		dot := strings.LastIndex(name, ".")
		if !found || dot <= 0 || dot == len(name)-1 || strings.ContainsAny(name, " ,") {
			return nil, fmt.Errorf("%s: no entry of the form directory.Test: text: %q", listFile, line)
		}
		listed = append(listed, testName{projectPath + name[:dot], name[dot+1:]})
	}
	return listed, nil
}
