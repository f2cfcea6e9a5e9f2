// Package label holds labels and the selectors that match them.
package label

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Set is a set of labels. A nil Set is empty.
type Set map[string]string

// String returns the labels in key order as "a=1,b=2".
func (s Set) String() string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(s)) {
		parts = append(parts, k+"="+s[k])
	}
	return strings.Join(parts, ",")
}

// Operator is the comparison of a label with the values of a Requirement.
type Operator uint8

// The operators of a selector: =, !=, in, notin, key and !key.
const (
	Equals Operator = iota
	NotEquals
	In
	NotIn
	Exists
	NotExists
)

// Requirement is one condition of a Selector.
type Requirement struct {
	Key      string
	Operator Operator
	Values   []string
}

// Matches reports whether the labels meet the requirement. As is customary, != and notin
// also match if the key is absent.
func (r Requirement) Matches(s Set) bool {
	value, present := s[r.Key]
	switch r.Operator {
	case Equals, In:
		return present && slices.Contains(r.Values, value)
	case NotEquals, NotIn:
		return !present || !slices.Contains(r.Values, value)
	case Exists:
		return present
	default:
		return !present
	}
}

// Selector is a conjunction of requirements. The zero Selector matches everything.
type Selector struct {
	Requirements []Requirement
}

// Matches reports whether the labels meet every requirement.
func (sel Selector) Matches(s Set) bool {
	for _, r := range sel.Requirements {
		if !r.Matches(s) {
			return false
		}
	}
	return true
}

// Parse parses a selector such as "rack=r1,kind in (cpu,gpu),!spare". Its error quotes
// the faulty part.
func Parse(text string) (Selector, error) {
	var sel Selector
	for _, part := range split(text) {
		r, err := parseRequirement(part)
		if err != nil {
			return Selector{}, fmt.Errorf("selector %q: %w", text, err)
		}
		sel.Requirements = append(sel.Requirements, r)
	}
	return sel, nil
}

// split splits text at the commas outside parentheses.
func split(text string) []string {
	if strings.TrimSpace(text) == "" {
		return nil
	}
	var parts []string
	depth, start := 0, 0
	for i, c := range text {
		switch {
		case c == '(':
			depth++
		case c == ')':
			depth--
		case c == ',' && depth == 0:
			parts = append(parts, text[start:i])
			start = i + 1
		}
	}
	return append(parts, text[start:])
}

func parseRequirement(part string) (Requirement, error) {
	text := strings.TrimSpace(part)
	if r, ok, err := parseSetRequirement(text); ok || err != nil {
		return r, err
	}
	if key, value, ok := strings.Cut(text, "!="); ok {
		return newRequirement(key, NotEquals, value)
	}
	if key, value, ok := strings.Cut(text, "="); ok {
		return newRequirement(key, Equals, strings.TrimPrefix(value, "="))
	}
	if key, ok := strings.CutPrefix(text, "!"); ok {
		return newRequirement(key, NotExists)
	}
	return newRequirement(text, Exists)
}

// parseSetRequirement parses "key in (a,b)" and "key notin (a,b)". It returns false for
// text without a parenthesis.
func parseSetRequirement(text string) (Requirement, bool, error) {
	head, tail, found := strings.Cut(text, "(")
	if !found {
		return Requirement{}, false, nil
	}
	fields := strings.Fields(head)
	values, closed := strings.CutSuffix(strings.TrimSpace(tail), ")")
	if len(fields) != 2 || !closed {
		return Requirement{}, true, fmt.Errorf("%q: want key in (a,b) or key notin (a,b)", text)
	}
	operators := map[string]Operator{"in": In, "notin": NotIn}
	operator, known := operators[fields[1]]
	if !known {
		return Requirement{}, true, fmt.Errorf("%q: unknown operator %q, want in or notin", text, fields[1])
	}
	r, err := newRequirement(fields[0], operator, strings.Split(values, ",")...)
	return r, true, err
}

func newRequirement(key string, operator Operator, values ...string) (Requirement, error) {
	r := Requirement{Key: strings.TrimSpace(key), Operator: operator}
	if err := checkWord("key", r.Key, false); err != nil {
		return Requirement{}, err
	}
	for _, v := range values {
		v = strings.TrimSpace(v)
		if err := checkWord("value", v, true); err != nil {
			return Requirement{}, err
		}
		r.Values = append(r.Values, v)
	}
	return r, nil
}

// checkWord accepts letters, digits and the characters - _ . / in a key or value.
func checkWord(role, word string, emptyAllowed bool) error {
	if word == "" && !emptyAllowed {
		return fmt.Errorf("empty %s", role)
	}
	for _, c := range word {
		if !isWordRune(c) {
			return fmt.Errorf("%s %q: character %q is not allowed", role, word, c)
		}
	}
	return nil
}

func isWordRune(c rune) bool {
	switch {
	case c >= 'a' && c <= 'z', c >= 'A' && c <= 'Z', c >= '0' && c <= '9':
		return true
	default:
		return strings.ContainsRune("-_./", c)
	}
}
