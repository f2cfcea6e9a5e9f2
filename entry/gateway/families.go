package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// histograms is a family of histograms by the value of one tag.
type histograms struct {
	scope     tally.Scope
	name, tag string
	most      int64 // distinct values, otherValue not counted
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
	if known, ok := h.byValue.Load(value); ok {
		return known.(tally.Histogram)
	}
	if value != otherValue && h.size.Add(1) > h.most {
		return h.get(otherValue)
	}
	made := h.scope.Tagged(map[string]string{h.tag: value}).Histogram(h.name, latencyBuckets)
	stored, _ := h.byValue.LoadOrStore(value, made)
	return stored.(tally.Histogram)
}

// counters is a family of counters by the value of one tag; its values are the
// program's own, so they need no bound.
type counters struct {
	scope     tally.Scope
	name, tag string
	byValue   sync.Map
}

func (c *counters) inc(value string) {
	if known, ok := c.byValue.Load(value); ok {
		known.(tally.Counter).Inc(1)
		return
	}
	made := c.scope.Tagged(map[string]string{c.tag: value}).Counter(c.name)
	stored, _ := c.byValue.LoadOrStore(value, made)
	stored.(tally.Counter).Inc(1)
}

// gauges is a family of gauges by the value of one tag. Only the periodic work
// sets them.
type gauges struct {
	scope     tally.Scope
	name, tag string
	byValue   sync.Map
}

func (g *gauges) set(value string, to float64) {
	known, ok := g.byValue.Load(value)
	if !ok {
		made := g.scope.Tagged(map[string]string{g.tag: value}).Gauge(g.name)
		known, _ = g.byValue.LoadOrStore(value, made)
	}
	known.(tally.Gauge).Update(to)
}
