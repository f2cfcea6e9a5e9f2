package shard

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// AdviceReport describes the steps of one queue that lack tickets of the advice service.
type AdviceReport struct {
	Queue string
	// InFlight is how many of them have a request in flight; OldestInFlight is the age of the oldest one.
	InFlight       int
	OldestInFlight time.Duration
	// Waiting is how many of them wait for their turn to be asked for; OldestWaiting is the longest time for
	// which one of them has lacked tickets.
	Waiting       int
	OldestWaiting time.Duration
	// NeverAsked is how many of those that wait have never been asked for; OldestNeverAsked is the longest time for
	// which one of these has lacked tickets.
	NeverAsked       int
	OldestNeverAsked time.Duration
	// NotPermitted is how many of them the last response has given no ticket.
	NotPermitted int
	AdviceCounts
}

// AdviceCounts counts requests and responses since the last report.
type AdviceCounts struct {
	// Repeated is how many requests were for a step whose last request had brought no start.
	Repeated int
	// Denied is how many responses had no ticket.
	Denied int
	// Unused is how many responses were replaced before any of their tickets was used.
	Unused int
}

// reason returns why a step that lacks tickets waits.
func (t *tickets) reason() Reason {
	switch {
	case t.requested:
		return ReasonAwaitsAdvice
	case t.result == adviceDenied:
		return ReasonNotPermitted
	default:
		return ReasonAwaitsAdviceTurn
	}
}

// adviceCountsOf returns the counts of the step's queue.
func (s *Shard) adviceCountsOf(st *step) *AdviceCounts {
	queue := st.job.Queue.Name
	if s.adviceCounts[queue] == nil {
		s.adviceCounts[queue] = &AdviceCounts{}
	}
	return s.adviceCounts[queue]
}

// noteRequest counts a request for the need.
func (s *Shard) noteRequest(n AdviceNeed) {
	if n.step.tickets.repeated() {
		s.adviceCountsOf(n.step).Repeated++
	}
}

// noteReplacedTickets counts the tickets of a step that are replaced, if none of them was used.
func (s *Shard) noteReplacedTickets(st *step) {
	if len(st.tickets.byExecutor) > 0 && !st.tickets.used {
		s.adviceCountsOf(st).Unused++
	}
}

// adviceReports reports on the queues that need advice, and begins a new report period.
func (s *Shard) adviceReports(now time.Time) []AdviceReport {
	byQueue := map[string]*AdviceReport{}
	reportOf := func(queue string) *AdviceReport {
		if byQueue[queue] == nil {
			byQueue[queue] = &AdviceReport{Queue: queue}
		}
		return byQueue[queue]
	}
	for queue, counts := range s.adviceCounts {
		reportOf(queue).AdviceCounts = *counts
	}
	clear(s.adviceCounts)
	for id := range s.advised {
		j := s.jobs[id]
		for _, o := range j.occurrences {
			for _, st := range o.steps {
				if s.stillLacksTickets(st, now) {
					reportOf(j.Queue.Name).add(&st.tickets, now)
				}
			}
		}
	}
	reports := make([]AdviceReport, 0, len(byQueue))
	for _, r := range slices.SortedFunc(maps.Values(byQueue), func(a, b *AdviceReport) int { return cmp.Compare(a.Queue, b.Queue) }) {
		reports = append(reports, *r)
	}
	return reports
}

// stillLacksTickets is like lacksTickets, and records since when that is so.
func (s *Shard) stillLacksTickets(st *step, now time.Time) bool {
	if !s.lacksTickets(st, now) {
		st.tickets.missingSince = time.Time{}
		return false
	}
	if st.tickets.missingSince.IsZero() {
		st.tickets.missingSince = now
	}
	return true
}

func (r *AdviceReport) add(t *tickets, now time.Time) {
	if t.result == adviceDenied {
		r.NotPermitted++
	}
	if t.requested {
		r.InFlight++
		r.OldestInFlight = max(r.OldestInFlight, now.Sub(t.requestedAt))
		return
	}
	missing := now.Sub(t.missingSince)
	r.Waiting++
	r.OldestWaiting = max(r.OldestWaiting, missing)
	if t.requestedAt.IsZero() {
		r.NeverAsked++
		r.OldestNeverAsked = max(r.OldestNeverAsked, missing)
	}
}
