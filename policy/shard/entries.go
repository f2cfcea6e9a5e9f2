package shard

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/execution"
)

// The entry of an executor may be wrong: another writer may have written it. What an executor says itself, in its
// response to a poll, goes before what an entry says. A birth that only an entry states is a claim: the owner
// starts nothing there and asks. See docs/design/executor-incarnations.md.

const (
	// ownEntryTime is the time within which an executor at work writes its own entry again, over any other:
	// more than a heartbeat.
	ownEntryTime = 2 * time.Second
	// takeoverLists is how long after the first list of a term executors may still be added that were
	// there before.
	takeoverLists = 5 * time.Second
)

// mayBeOfAnotherService reports whether an executor that the first lists of the term lacked may be at work for
// another service, where another writer's entry says otherwise: it has not just started. A call to it would fence
// off its owner, and its runs would be stopped.
func (s *Shard) mayBeOfAnotherService(e *executorState, now time.Time) bool {
	if s.firstListAt.IsZero() {
		s.firstListAt = now
	}
	age := now.Sub(time.UnixMilli(int64(e.Born)))
	justStarted := e.bornLately(now) && age >= -maxClockDifference
	return e.Born != 0 && !justStarted && now.Sub(s.firstListAt) >= takeoverLists
}

// hasDisproved reports whether a response of this incarnation has shown that there is none of that birth.
func (e *executorState) hasDisproved(born cluster.Birth) bool {
	return born != 0 && born == e.disproved
}

// provenBorn returns the latest birth that more than an entry states; zero if there is none.
func (e *executorState) provenBorn() cluster.Birth {
	switch {
	case !e.claimed:
		return e.Born
	case e.replaced != nil:
		return e.replaced.Born
	default:
		return 0
	}
}

// enter applies an entry of this incarnation. Where the executor has responded, or had runs of an earlier owner,
// calls go on going there; see pollAddress. More capacity than before counts only after ownEntryTime, since
// tasks that the executor has no room for may not be started there; less counts at once.
func (e *executorState) enter(entry cluster.Executor, now time.Time) {
	if entry.Draining && !e.everDraining {
		e.everDraining = true
	}
	e.entryAddress = entry.Address
	switch {
	case e.provenAddress != "":
		entry.Address = e.provenAddress
	case entry.Address != e.Address:
		// What responded at the former address may have been another executor.
		e.ended, e.polling, e.pollAt = false, false, now
	}
	if !e.entered || entry.Capacity != e.entryCapacity {
		e.entryCapacity, e.capacitySince = entry.Capacity, now
	}
	if !e.entered {
		e.grantedCapacity = entry.Capacity
	}
	entry.Capacity = smaller(e.entryCapacity, e.grantedCapacity)
	e.Executor = entry
	e.listed, e.entered = true, true
}

// grantCapacities lets the capacities count that entries have stated for long enough.
func (s *Shard) grantCapacities(now time.Time) {
	for _, e := range s.executors {
		if e.entered && e.grantedCapacity != e.entryCapacity && now.Sub(e.capacitySince) >= ownEntryTime {
			e.grantedCapacity, e.Capacity = e.entryCapacity, e.entryCapacity
		}
	}
}

// pollAddress returns where the next poll goes. While polls fail, every other one goes to another address at which
// the executor may be: that of its entry or, if this incarnation is only claimed, that of the one before.
func (e *executorState) pollAddress() string {
	other := e.entryAddress
	if e.claimed && e.replaced != nil {
		other = e.replaced.provenAddress
	}
	if e.failedCalls%2 == 1 && other != "" {
		return other
	}
	return e.Address
}

// mayBeAt reports whether the executor may be at an address, by what is known now.
func (e *executorState) mayBeAt(address string) bool {
	return address == e.Address || address == e.entryAddress || e.replaced != nil && address == e.replaced.provenAddress
}

// contradict applies an entry of an earlier birth than the claimed one: either may be wrong, and a poll at the
// address of the latest one tells.
func (e *executorState) contradict(entry cluster.Executor, now time.Time) {
	e.listed = true
	if e.Address != entry.Address {
		e.Address = entry.Address
		e.pollAnew(now)
	}
	e.rival = &entry
}

// proveAddress records where the executor has responded, or had runs of an earlier owner.
func (e *executorState) proveAddress(address string) {
	if address != "" {
		e.provenAddress, e.Address = address, address
	}
}

// knownAddress returns where the executor has responded, or had runs of an earlier owner; else the address in its
// entry.
func (e *executorState) knownAddress() string { return cmp.Or(e.provenAddress, e.Address) }

// deliveryAt returns what is known about the delivery of a call to the given address. The refusal of another
// executor shows that this one has ended only at an address where it has responded: the entry with any other
// address may be wrong.
func (e *executorState) deliveryAt(address string, delivery Delivery, refusal execution.Refusal) Delivery {
	if delivery == Responded && refusal == execution.RefusedWrongExecutor && address != e.provenAddress {
		return NotSent
	}
	return delivery
}

// disprove handles the response of an earlier incarnation than the claimed one, to a poll that was sent after the
// entry with the claim was listed: the claim is wrong, since the earlier one would have ended before that entry
// was written. A response without a birth shows that the executor doesn't say births, so that no entry of its own
// states one. It returns the state of the incarnation that has responded, or nil if the response is not to be
// explained so.
func (s *Shard) disprove(e *executorState, poll Poll, from cluster.Incarnation, now time.Time) *executorState {
	if !e.claimed || from.ID != e.ID || from.Born > e.Born {
		return nil
	}
	known := slices.Clone(e.former)
	if e.replaced != nil && !slices.Contains(known, e.replaced) {
		known = append(known, e.replaced)
	}
	if slices.ContainsFunc(known, func(f *executorState) bool { return f.Born > from.Born }) {
		return nil
	}
	s.noteRestart(RestartNote{Executor: e.ID, Former: e.Born, Born: from.Born, Evidence: RestartDisproved, Runs: e.formerRuns()})
	claim, rival, listed := e.Born, e.rival, e.listed
	if i := slices.IndexFunc(known, func(f *executorState) bool { return f.Born == from.Born }); i >= 0 {
		e = s.reinstate(known[i], e)
	} else {
		// Nothing starts there before its own entry, which gives kind and capacity, has been listed.
		e.Born, e.claimed, e.replaced, e.rival = from.Born, false, nil, nil
		e.entered, e.Draining = false, false
		e.everDraining = e.everDraining && from.Born == 0 // then the state is that from before the claim
	}
	if rival != nil && rival.Born == e.Born {
		e.enter(*rival, now)
	}
	e.listed = e.entered && listed
	e.disproved = claim
	s.sorted = nil
	s.dirty = true
	s.updateLeaving()
	return e
}

// reinstate makes the state of an incarnation the present one again, which an entry has wrongly superseded. Calls
// to it before now have tokens below that of the poll that it has responded to.
func (s *Shard) reinstate(e, claimed *executorState) *executorState {
	e.ended, e.supersededAt = false, time.Time{}
	e.cordon, e.reportedEmpty = claimed.cordon, e.reportedEmpty || claimed.reportedEmpty
	e.token = max(e.token, claimed.token)
	e.polling = false
	// Responses that were read meanwhile were applied without what is needed to acknowledge their completions.
	e.pending = nil
	e.appliedSequence = e.durableSequence
	e.former = slices.DeleteFunc(claimed.former, func(f *executorState) bool { return f == e })
	claimed.former = nil
	s.executors[e.ID] = e
	return e
}
