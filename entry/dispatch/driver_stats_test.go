package dispatch

import "time"

// result is how a call ended.
type result uint8

const (
	pending result = iota
	succeeded
	refused  // granted no slot
	failed   // with an error
	timedOut // without a response before the deadline
)

// phase counts the calls created in one span of time.
type phase struct {
	from, to                                      time.Duration
	offered, succeeded, refused, failed, timedOut int
	refusedLate                                   int // refused after more than half of the timeout
	sends                                         int
	work                                          time.Duration // run time of calls that succeeded within the span
}

// stats counts calls by phase and class.
type stats struct{ phases map[string][]*phase }

func newStats() *stats { return &stats{phases: map[string][]*phase{}} }

// phase adds a span of time for the class; an empty class counts the calls of all.
func (s *stats) phase(class string, from, to time.Duration) *phase {
	p := &phase{from: from, to: to}
	s.phases[class] = append(s.phases[class], p)
	return p
}

func (s *stats) forEachPhase(c *call, at time.Duration, do func(*phase)) {
	for _, class := range []string{"", c.workload.class} {
		for _, p := range s.phases[class] {
			if at >= p.from && at < p.to {
				do(p)
			}
		}
	}
}

func (s *stats) offered(c *call) { s.forEachPhase(c, c.createdAt, func(p *phase) { p.offered++ }) }

func (s *stats) sent(c *call) { s.forEachPhase(c, c.createdAt, func(p *phase) { p.sends++ }) }

func (s *stats) ended(c *call) {
	if c.result == succeeded {
		s.forEachPhase(c, c.driver.now, func(p *phase) { p.work += c.runTime })
	}
	s.forEachPhase(c, c.createdAt, func(p *phase) {
		switch c.result {
		case succeeded:
			p.succeeded++
		case refused:
			p.refused++
			if c.driver.now-c.createdAt > c.workload.timeout/2 {
				p.refusedLate++
			}
		case failed:
			p.failed++
		case timedOut:
			p.timedOut++
		}
	})
}

// utilization returns the share of the slots' time that was used for calls that succeeded.
func (p *phase) utilization(slots int) float64 {
	return p.work.Seconds() / (float64(slots) * (p.to - p.from).Seconds())
}

// share returns part / whole, or zero if whole is zero.
func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
