package load

import (
	"slices"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
)

// maxFaults is the maximum number of fault texts kept for a class.
const maxFaults = 5

// Stats counts the outcomes of the requests of one class.
type Stats struct {
	mu        sync.Mutex
	sent      int
	succeeded int
	refused   int
	verdicts  Verdicts
	faulty    int
	faults    []string
	latencies []time.Duration
}

// Verdicts counts responses by verdict.
type Verdicts struct {
	Ran        int `json:"ran"`
	NotRun     int `json:"notRun"`
	MayHaveRun int `json:"mayHaveRun"`
}

// Summary holds the results of one class.
type Summary struct {
	Class string `json:"class"`
	Sent  int    `json:"sent"`
	// Succeeded counts responses with the verdict ran and a status below 300; Refused counts
	// all other responses that broke no guarantee.
	Succeeded int             `json:"answered"`
	Refused   int             `json:"refused"`
	Verdicts  Verdicts        `json:"verdicts"`
	P50       object.Duration `json:"p50"`
	P99       object.Duration `json:"p99"`
	// Faulty counts requests for which a guarantee was broken; Faults describes up to
	// maxFaults of them.
	Faulty int      `json:"faulty"`
	Faults []string `json:"faults,omitempty"`
}

func (s *Stats) add(r result, latency time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if r.fault != "" {
		s.addFault(r.fault)
		return
	}
	s.latencies = append(s.latencies, latency)
	s.verdicts.add(r.verdict)
	if r.succeeded {
		s.succeeded++
		return
	}
	s.refused++
}

func (s *Stats) addFault(fault string) {
	s.faulty++
	if len(s.faults) < maxFaults {
		s.faults = append(s.faults, fault)
	}
}

func (v *Verdicts) add(received verdict.Verdict) {
	switch received {
	case verdict.Ran:
		v.Ran++
	case verdict.NotRun:
		v.NotRun++
	default:
		v.MayHaveRun++
	}
}

func (s *Stats) summary(class string) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	sorted := slices.Sorted(slices.Values(s.latencies))
	return Summary{
		Class: class, Sent: s.sent, Succeeded: s.succeeded, Refused: s.refused, Verdicts: s.verdicts,
		P50: quantile(sorted, 0.50), P99: quantile(sorted, 0.99),
		Faulty: s.faulty, Faults: slices.Clone(s.faults),
	}
}

// quantile returns the q-quantile of sorted latencies, zero if there are none.
func quantile(sorted []time.Duration, q float64) object.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return object.Duration(sorted[int(q*float64(len(sorted)-1))])
}
