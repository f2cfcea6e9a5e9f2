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
	// Unused is how many responses since the last report were replaced before any of their tickets was used.
	Unused int
}

// reason returns why a step that lacks tickets waits.
func (t *tickets) reason() Reason {
	if t.requested {
		return ReasonAwaitsAdvice
	}
	return ReasonAwaitsAdviceTurn
}

// noteReplacedTickets counts the tickets of a step that are replaced, if none of them was used.
func (s *Shard) noteReplacedTickets(st *step) {
	if len(st.tickets.byExecutor) > 0 && !st.tickets.used {
		s.unusedTickets[st.job.Queue.Name]++
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
	for queue, n := range s.unusedTickets {
		reportOf(queue).Unused = n
	}
	clear(s.unusedTickets)
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
	if t.requested {
		r.InFlight++
		r.OldestInFlight = max(r.OldestInFlight, now.Sub(t.requestedAt))
		return
	}
	r.Waiting++
	r.OldestWaiting = max(r.OldestWaiting, now.Sub(t.missingSince))
}
