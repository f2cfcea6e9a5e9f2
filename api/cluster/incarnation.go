package cluster

import (
	"cmp"
	"fmt"
)

// Birth is the Unix time in milliseconds at which an executor started. Zero means unknown: some
// platforms do not say it, and give a restarted executor another ID.
type Birth int64

// MaxBirth is the latest birth: the end of the year 9999.
const MaxBirth Birth = 253_402_300_799_999

// NewBirth returns the birth that a message states, or an error unless it is above zero and at most
// MaxBirth. Whether it is close to the present time is not checked, so that each instance reads a
// message alike whatever its clock says.
func NewBirth(unixMs int64) (Birth, error) {
	if unixMs <= 0 || unixMs > int64(MaxBirth) {
		return 0, fmt.Errorf("born %d: want above 0 and at most %d", unixMs, MaxBirth)
	}
	return Birth(unixMs), nil
}

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
