package cluster

import "cmp"

// Birth is the Unix time in milliseconds at which an executor started. Zero means unknown: some
// platforms do not say it, and give a restarted executor another ID.
type Birth int64

// Incarnation identifies one life of an executor: what runs there, the numbers of its completions,
// its clock, the fencing tokens that it has seen and its tickets end with it.
type Incarnation struct {
	ID   ExecutorID
	Born Birth
}

// Compare orders incarnations by ID, then by birth.
func (i Incarnation) Compare(other Incarnation) int {
	return cmp.Or(cmp.Compare(i.ID, other.ID), cmp.Compare(i.Born, other.Born))
}

// SucceededBy reports whether other is certainly a later incarnation of the same executor.
func (i Incarnation) SucceededBy(other Incarnation) bool {
	return i.ID == other.ID && i.Born != 0 && other.Born > i.Born
}

// MayEqual reports whether the two may be the same incarnation: their births are equal, or one of
// them is unknown.
func (i Incarnation) MayEqual(other Incarnation) bool {
	return i.ID == other.ID && (i.Born == other.Born || i.Born == 0 || other.Born == 0)
}
