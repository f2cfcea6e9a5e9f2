package gateway

import (
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tarragonreach/tarragonreach/api/explain"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// maxRecordsPerSecond bounds the records of refused and failed requests, so that a burst
// of refusals costs little.
const maxRecordsPerSecond = 50

// explainer records requests that were refused or failed, at a bounded rate.
type explainer struct {
	record func(explain.Record)
	second atomic.Int64 // the Unix second to which count applies
	count  atomic.Int64 // records requested in that second
}

// allows reports whether another record is within the bound of the current second, and
// counts it.
func (e *explainer) allows(now time.Time) bool {
	if e.record == nil {
		return false
	}
	second := now.Unix()
	if previous := e.second.Load(); previous != second && e.second.CompareAndSwap(previous, second) {
		e.count.Store(0)
	}
	return e.count.Add(1) <= maxRecordsPerSecond
}

// explainRefused records why a request got no response from a backend server.
func (g *Gateway) explainRefused(x *exchange, err *verdict.Error, now time.Time) {
	if x.request.ID == "" || !g.explainer.allows(now) {
		return
	}
	g.explainer.record(explain.Record{
		At:      now,
		Zone:    g.options.Zone,
		Subject: explain.Request(x.request.ID),
		Action:  explain.ActionRespond,
		Outcome: explain.Refused,
		Reason:  explain.Reason(err.Code),
		Detail:  err.Detail,
		Inputs:  x.explainInputs(err, now),
	})
}

// explainInputs returns the values that led to the refusal.
func (x *exchange) explainInputs(err *verdict.Error, now time.Time) []explain.Input {
	inputs := []explain.Input{
		{Name: "verdict", Value: err.Verdict.String()},
		{Name: "tenant", Value: x.tenant},
		{Name: "class", Value: x.class.Name},
		{Name: "repeatable", Value: strconv.FormatBool(x.repeatable)},
		{Name: "attempts", Value: strconv.Itoa(x.attempts)},
		{Name: "took", Value: now.Sub(x.started).String()},
	}
	if x.service != nil {
		live := x.service.live
		inputs = append(inputs,
			explain.Input{Name: "service", Value: live.Name},
			explain.Input{Name: "waiting", Value: strconv.Itoa(live.Waiting())},
			explain.Input{Name: "slots", Value: strconv.Itoa(live.Capacity())},
			explain.Input{Name: "runTime", Value: live.RunTime(x.class.Name).String()})
	}
	for i := range x.attempts {
		inputs = append(inputs, explain.Input{Name: "executor", Value: string(x.leases[i].executor.ID)})
	}
	return inputs
}
