package election

import (
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// Over reports whether the term of a duty with the given token is known to be over: a later one has
// begun, or its holder has left.
func (e *Election) Over(duty layout.Duty, token int64) bool {
	return e.vacancies.over(layout.OwnerKey(duty), kv.Revision(token))
}

func (v *vacancies) over(key string, token kv.Revision) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	terms := v.terms[key]
	if len(terms) == 0 || terms[len(terms)-1].token < token {
		return false // not observed yet
	}
	return terms[len(terms)-1].token > token || !v.held[key]
}
