package strictjson

import "fmt"

// MaxDepth is the maximum nesting depth of values. The parser is recursive: without this
// bound, a short text could take a gigabyte of stack.
const MaxDepth = 32

// bracketScanner tracks the nesting depth of brackets in a text without parsing it.
type bracketScanner struct {
	text  []byte
	next  int
	depth int
}

// checkDepth returns a fault if brackets outside strings and comments nest deeper than
// MaxDepth.
func checkDepth(text []byte) Faults {
	s := &bracketScanner{text: text}
	for s.next < len(text) {
		offset := s.next
		s.step()
		if s.depth > MaxDepth {
			pos := positionOf(text, offset)
			problem := fmt.Sprintf("values nest deeper than %d", MaxDepth)
			return Faults{{Line: pos.line, Column: pos.column, Problem: problem}}
		}
	}
	return nil
}

func (s *bracketScanner) step() {
	c := s.text[s.next]
	s.next++
	switch {
	case c == '"':
		s.skipString()
	case c == '/' && s.nextIs('/'):
		s.skipPast("\n")
	case c == '/' && s.nextIs('*'):
		s.next++
		s.skipPast("*/")
	case c == '[' || c == '{':
		s.depth++
	case c == ']' || c == '}':
		s.depth--
	}
}

func (s *bracketScanner) nextIs(c byte) bool { return s.next < len(s.text) && s.text[s.next] == c }

func (s *bracketScanner) skipString() {
	for s.next < len(s.text) {
		c := s.text[s.next]
		s.next++
		if c == '\\' {
			s.next++
		}
		if c == '"' {
			return
		}
	}
}

func (s *bracketScanner) skipPast(end string) {
	for s.next < len(s.text) {
		if s.next+len(end) <= len(s.text) && string(s.text[s.next:s.next+len(end)]) == end {
			s.next += len(end)
			return
		}
		s.next++
	}
}
