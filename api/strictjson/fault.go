// Package strictjson decodes JSON with comments and reports every fault at once,
// each with its line and column.
package strictjson

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error in a document.
type Fault struct {
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // from 1, in bytes
	Path   string `json:"path,omitempty"`
	// Problem describes what is wrong and what is expected.
	Problem string `json:"problem"`
}

// String returns "line:column: path: problem".
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Problem)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Problem)
}

// Faults is an error that lists all faults of a document, sorted by position.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// ErrOrNil returns the faults as an error, or nil if there are none.
func (fs Faults) ErrOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sorted returns the faults sorted by position.
func (fs Faults) Sorted() Faults {
	out := slices.Clone(fs)
	out.sort()
	return out
}

func (fs Faults) sort() {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
}

// position is a line and a column in the text, both from 1; columns count bytes.
type position struct {
	line   int
	column int
}

func positionOf(text []byte, offset int) position {
	offset = min(offset, len(text))
	before := text[:offset]
	line := bytes.Count(before, []byte("\n")) + 1
	column := offset - (bytes.LastIndexByte(before, '\n') + 1) + 1
	return position{line, column}
}
