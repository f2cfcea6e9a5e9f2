package shard

import (
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
)

// refusalAge is the time from the first refusal of a step to when all of them are forgotten. The advice service permits an
// executor to run a step or not for its whole life; the age bounds for how long a wrong response counts.
const refusalAge = 1 * time.Minute

// adviceResult is what became of the last request for a step.
type adviceResult uint8

const (
	adviceNone     adviceResult = iota // never asked for, or the service has not served the request
	adviceGranted                      // at least one executor got a ticket
	adviceDenied                       // no executor got one
	adviceUnusable                     // nothing could be concluded
	adviceRejected                     // an executor has rejected a ticket
)

// tickets holds what the advice service has said about a step.
type tickets struct {
	byExecutor map[cluster.Incarnation]string
	validUntil time.Time
	used       bool // by a start
	// refused holds the executors that got no ticket since refusedSince.
	refused      map[cluster.Incarnation]struct{}
	refusedSince time.Time

	result       adviceResult
	hadRoom      bool // an executor had room when the last request was made
	requested    bool
	requestedAt  time.Time
	examinedAt   time.Time // of a repeated step: when there was last nobody to ask for, or a request was made
	missingSince time.Time // since when the step has lacked tickets; zero if it has them. The report sets it.
	nextExecutor int       // position after the last executor that a request named
	retryAt      time.Time
	// unusableResponses counts the responses in a row from which nothing could be concluded.
	unusableResponses int
}

// repeated reports whether the last request has brought no start, though it could have. Such a step may never get a
// ticket that it can use, so that others must not wait for it.
func (t *tickets) repeated() bool {
	if t.result == adviceGranted {
		return t.hadRoom && !t.used
	}
	return t.result != adviceNone
}

// mayGet reports whether the executor may get a ticket by what is known.
func (t *tickets) mayGet(executor cluster.Incarnation, now time.Time) bool {
	_, found := t.refused[executor]
	return !found || now.Sub(t.refusedSince) >= refusalAge
}

// noteRefusals records which of the executors that a request named got no ticket.
func (t *tickets) noteRefusals(named []cluster.Incarnation, granted map[cluster.ExecutorID]string, now time.Time) {
	for _, executor := range named {
		if _, found := granted[executor.ID]; !found {
			t.refuse(executor, now)
		}
	}
}

func (t *tickets) refuse(executor cluster.Incarnation, now time.Time) {
	if t.refused == nil || now.Sub(t.refusedSince) >= refusalAge {
		t.refused, t.refusedSince = map[cluster.Incarnation]struct{}{}, now
	}
	t.refused[executor] = struct{}{}
}

// set replaces the tickets by those of a response. A ticket is valid in one incarnation only.
func (t *tickets) set(named []cluster.Incarnation, granted map[cluster.ExecutorID]string, validUntil time.Time) {
	t.byExecutor = make(map[cluster.Incarnation]string, len(granted))
	for _, executor := range named {
		if ticket, found := granted[executor.ID]; found {
			t.byExecutor[executor] = ticket
		}
	}
	t.result, t.used, t.validUntil = adviceGranted, false, validUntil
}

// reject removes the tickets after an executor has rejected one of them.
func (t *tickets) reject() {
	t.byExecutor, t.validUntil, t.result = nil, time.Time{}, adviceRejected
}

// ticketsValidUntil returns until when tickets that have just been received are used. The validity may count from any
// time since the request was sent. If the response took so long that they may have expired already, they are tried
// once all the same, since those of the next request may be as old.
func ticketsValidUntil(validity time.Duration, sentAt, now time.Time) time.Time {
	certain := sentAt.Add(validity - ticketMargin)
	tried := now.Add(min(validity, ticketMargin))
	if tried.After(certain) {
		return tried
	}
	return certain
}

// dropOutdatedRefusals forgets the refusals of executors that are not listed any more.
func (s *Shard) dropOutdatedRefusals(t *tickets) {
	for executor := range t.refused {
		if !s.isListed(executor) {
			delete(t.refused, executor)
		}
	}
}

// ticketsObsolete reports whether there are tickets and none of their executors is listed
// any more.
func (s *Shard) ticketsObsolete(t *tickets) bool {
	for executor := range t.byExecutor {
		if s.isListed(executor) {
			return false
		}
	}
	return len(t.byExecutor) > 0
}
