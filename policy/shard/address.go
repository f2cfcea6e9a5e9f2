package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// An executor keeps its address for its life. An entry that names another one, for an incarnation that
// has responded, was not written by that executor: what responds there says nothing about it.

// contradicts reports whether the entry names another address than the one at which the executor has
// responded to an owner.
func (e *executorState) contradicts(listed cluster.Executor) bool {
	return e.confirmedAddress != "" && listed.Address != e.confirmedAddress
}

// confirmAddress notes an address at which an owner has reached the executor. An entry with another
// one, which may have been listed already, is not about it.
func (e *executorState) confirmAddress(address string) {
	if address == "" || e.confirmedAddress != "" {
		return
	}
	e.confirmedAddress = address
	if e.Address != address {
		e.listed = false
		e.moveTo(address)
	}
}

// moveTo replaces the address of an executor that has not responded at the former one. The outcome of
// calls to that one does not count any more.
func (e *executorState) moveTo(address string) {
	e.Address = address
	e.ended, e.polling, e.pollAt = false, false, time.Time{}
	e.failedCalls, e.unansweredCalls, e.missingLists, e.failingSince = 0, 0, 0, time.Time{}
}
