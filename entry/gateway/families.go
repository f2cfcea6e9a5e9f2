package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// histograms is a family of histograms by the value of one tag. Values beyond maxValues
// are recorded under otherValue.
type histograms struct {
	scope     tally.Scope
	name, tag string
	maxValues int64 // distinct values, not counting otherValue
	byValue   sync.Map
	size      atomic.Int64
}

func (h *histograms) record(value string, took time.Duration) {
	if value == "" {
		value = noneValue
	}
	h.get(value).RecordDuration(took)
}

func (h *histograms) get(value string) tally.Histogram {
	if existing, ok := h.byValue.Load(value); ok {
		return existing.(tally.Histogram)
	}
	if value != otherValue && h.size.Add(1) > h.maxValues {
		return h.get(otherValue)
	}
	created := h.scope.Tagged(map[string]string{h.tag: value}).Histogram(h.name, latencyBuckets)
	stored, _ := h.byValue.LoadOrStore(value, created)
	return stored.(tally.Histogram)
}

// counters is a family of counters by the value of one tag. The values are defined by
// the program, so their number needs no bound.
type counters struct {
	scope     tally.Scope
	name, tag string
	byValue   sync.Map
}

func (c *counters) inc(value string) {
	if existing, ok := c.byValue.Load(value); ok {
		existing.(tally.Counter).Inc(1)
		return
	}
	created := c.scope.Tagged(map[string]string{c.tag: value}).Counter(c.name)
	stored, _ := c.byValue.LoadOrStore(value, created)
	stored.(tally.Counter).Inc(1)
}

// gauges is a family of gauges by the value of one tag. Only the periodic tick sets
// them.
type gauges struct {
	scope     tally.Scope
	name, tag string
	byValue   sync.Map
}

func (g *gauges) set(value string, level float64) {
	existing, ok := g.byValue.Load(value)
	if !ok {
		created := g.scope.Tagged(map[string]string{g.tag: value}).Gauge(g.name)
		existing, _ = g.byValue.LoadOrStore(value, created)
	}
	existing.(tally.Gauge).Update(level)
}
