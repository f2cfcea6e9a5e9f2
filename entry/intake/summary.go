package intake

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"
)

// summaryInterval is the time between two lines that sum up status requests.
const summaryInterval = 1 * time.Second

// summary counts the status requests since the last line about them. Those that are answered leave no
// lines of their own.
type summary struct {
	outcomes     [outcomeCount]atomic.Int64
	storeCalls   atomic.Int64
	rateLimited  atomic.Int64
	relayed      atomic.Int64 // answered by another instance
	staleReads   atomic.Int64
	longest      atomic.Int64 // nanoseconds
	oldestConfig atomic.Int64 // nanoseconds
}

// add counts a request, if it asks for the status of a job or may have done so: which job it is about is
// not known without a configuration.
func (s *summary) add(r record) {
	if r.method != http.MethodGet || r.forCount {
		return
	}
	s.outcomes[r.response.endedAs()].Add(1)
	s.storeCalls.Add(int64(r.calls.attempts))
	s.rateLimited.Add(int64(r.calls.rateLimited))
	if r.relayed {
		s.relayed.Add(1)
	}
	s.staleReads.Add(int64(r.calls.stale))
	storeMax(&s.longest, int64(r.took))
	storeMax(&s.oldestConfig, int64(r.knowledge.Age))
}

func storeMax(to *atomic.Int64, value int64) {
	for {
		old := to.Load()
		if value <= old || to.CompareAndSwap(old, value) {
			return
		}
	}
}

// write logs what was counted since the last call, if any, and begins again.
func (s *summary) write(logger *slog.Logger) {
	var requests int64
	var counts []any
	for o := range s.outcomes {
		if n := s.outcomes[o].Swap(0); n > 0 {
			requests += n
			counts = append(counts, slog.Int64(outcome(o).String(), n))
		}
	}
	if requests == 0 {
		return
	}
	logger.Info("status requests", "requests", requests, slog.Group("outcomes", counts...),
		"store_calls", s.storeCalls.Swap(0), "store_rate_limited", s.rateLimited.Swap(0), "relayed", s.relayed.Swap(0),
		"stale_reads", s.staleReads.Swap(0),
		"longest_ms", time.Duration(s.longest.Swap(0)).Milliseconds(),
		"config_age_ms", time.Duration(s.oldestConfig.Swap(0)).Milliseconds())
}

// Run logs a line about the status requests of each second in which there were any, until ctx ends.
func (i *Intake) Run(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	defer i.summary.write(i.logger)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			i.summary.write(i.logger)
		}
	}
}
