package label

import "slices"

// Overlap reports whether some set of labels matches both selectors.
func Overlap(a, b Selector) bool {
	byKey := map[string][]Requirement{}
	for _, r := range slices.Concat(a.Requirements, b.Requirements) {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	for _, requirements := range byKey {
		if !satisfiable(requirements) {
			return false
		}
	}
	return true
}

// satisfiable reports whether a label can meet all requirements on its key. It tries an
// absent label, each value that a requirement lists, and a value that none lists.
func satisfiable(requirements []Requirement) bool {
	key := requirements[0].Key
	candidates := []Set{nil, {key: unlistedValue(requirements)}}
	for _, r := range requirements {
		for _, value := range r.Values {
			candidates = append(candidates, Set{key: value})
		}
	}
	return slices.ContainsFunc(candidates, func(s Set) bool {
		return Selector{Requirements: requirements}.Matches(s)
	})
}

// unlistedValue returns a value that no requirement lists.
func unlistedValue(requirements []Requirement) string {
	value := "-"
	for _, r := range requirements {
		for _, v := range r.Values {
			if len(v) >= len(value) {
				value = v + "-"
			}
		}
	}
	return value
}
