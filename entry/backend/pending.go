package backend

import "time"

// minOverdueFactor times the expected response time is the shortest Request.OverdueAfter
// that has an effect, so that slow classes are spared.
const minOverdueFactor = 2

// pendingResponse describes the response that an exchange waits for. Once the exchange
// waits, only the sweep loop uses slowest.
type pendingResponse struct {
	times      *responseTimes // of the class at the executor
	slowest    time.Duration  // decaying maximum response time of the class; zero if unknown
	repeatable bool           // the request may be repeated
	// attemptLimit and runTime are Request.OverdueAfter and Request.RunTime.
	attemptLimit time.Duration
	runTime      time.Duration
}

// newPendingResponse returns nil, which means that the response is never overdue, for a
// request that requires a new connection: it is the last attempt, and nothing suggests that
// its connection is half-open.
func newPendingResponse(times *responseTimes, request *Request) *pendingResponse {
	if request.NewConnection {
		return nil
	}
	pending := &pendingResponse{times: times, slowest: times.load(), repeatable: request.Repeatable}
	if request.Repeatable {
		pending.attemptLimit, pending.runTime = request.OverdueAfter, request.RunTime
	}
	return pending
}

// overdueAfter returns how long the response may take before it is overdue. It returns
// zero, which means no bound, if nothing is known about the class.
func (p *pendingResponse) overdueAfter(minimum time.Duration, corroborated bool) time.Duration {
	p.learnSlowest()
	limit := overdueAfter(minimum, p.slowest, p.repeatable, corroborated)
	if !p.isAttemptLimited() {
		return limit
	}
	attemptLimit := max(minimum, p.attemptLimit)
	if limit == 0 {
		return attemptLimit
	}
	return min(limit, attemptLimit)
}

// learnSlowest sets slowest once another request of the class has received a response. It
// never changes a known value: a later one may include how long half-open connections
// took to be detected. A request that may not be repeated learns nothing, because it would
// be lost if only its response is slow.
func (p *pendingResponse) learnSlowest() {
	if p.slowest == 0 && p.repeatable {
		p.slowest = p.times.load()
	}
}

// isAttemptLimited reports whether attemptLimit has an effect: it has none while nothing
// is known about the class, since that may need the whole time.
func (p *pendingResponse) isAttemptLimited() bool {
	expected := p.slowest
	if expected == 0 {
		expected = p.runTime
	}
	return expected > 0 && p.attemptLimit >= minOverdueFactor*expected
}
