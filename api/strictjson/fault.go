// Package strictjson decodes JSON with comments and reports every fault at once,
// each with its line and column.
package strictjson

import (
	"bytes"
	"fmt"
	"slices"
	"strings"
)

// Fault is one thing wrong with a document.
type Fault struct {
	Line   int    `json:"line"`   // from 1
	Column int    `json:"column"` // from 1, in bytes
	Path   string `json:"path,omitempty"`
	// Problem says what is wrong and what would be right.
	Problem string `json:"problem"`
}

// String returns "line:column: path: problem".
func (f Fault) String() string {
	if f.Path == "" {
		return fmt.Sprintf("%d:%d: %s", f.Line, f.Column, f.Problem)
	}
	return fmt.Sprintf("%d:%d: %s: %s", f.Line, f.Column, f.Path, f.Problem)
}

// Faults is an error that lists all faults of a document in order of position.
type Faults []Fault

// Error returns one line for each fault.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// ErrOrNil returns the faults as an error, or nil where there are none.
func (fs Faults) ErrOrNil() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Sorted returns the faults in order of position.
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

// position is a place in the text, from 1.
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
