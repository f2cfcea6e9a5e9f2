package host

import (
	"context"
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/platform/link"
)

const (
	// linkInterval is the time between two readings of the bytes on the link.
	linkInterval = time.Second
	// busyShare is the share of the link's rate in one direction from which on its load is logged.
	busyShare = 0.25
)

// reportLink counts the bytes on the link until ctx ends, and logs each second in which it was busy.
func (h *Host) reportLink(ctx context.Context) {
	counters := linkCounters(h.metrics.Scope.SubScope("link"))
	ticker := time.NewTicker(linkInterval)
	defer ticker.Stop()
	readAt, read := time.Now(), h.link.Read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now, total := time.Now(), h.link.Read()
		load := linkLoad{bytes: total.Since(read), elapsed: now.Sub(readAt), rate: h.node.LinkRate}
		readAt, read = now, total
		for d := range link.Directions {
			for p := range link.Purposes {
				counters[d][p].Inc(load.bytes[d][p])
			}
		}
		if load.busy() {
			h.logger.Info("link busy", load.attributes()...)
		}
	}
}

func linkCounters(scope tally.Scope) [link.Directions][link.Purposes]tally.Counter {
	var counters [link.Directions][link.Purposes]tally.Counter
	for d := range link.Directions {
		for p := range link.Purposes {
			tags := map[string]string{"purpose": p.String(), "direction": d.String()}
			counters[d][p] = scope.Tagged(tags).Counter("bytes")
		}
	}
	return counters
}

// linkLoad is what was on the link for a while.
type linkLoad struct {
	bytes   link.Bytes
	elapsed time.Duration
	rate    float64 // of the link in each direction, in bytes per second; zero where it is not limited
}

// share returns the used share of the link's rate in one direction.
func (l *linkLoad) share(d link.Direction) float64 {
	if l.rate <= 0 || l.elapsed <= 0 {
		return 0
	}
	return float64(l.bytes.Sum(d)) / l.elapsed.Seconds() / l.rate
}

func (l *linkLoad) busy() bool {
	return max(l.share(link.Received), l.share(link.Sent)) >= busyShare
}

// attributes returns the load for a log line: for each direction the used share of the link's rate, and bytes per
// second by purpose, without purposes that have none.
func (l *linkLoad) attributes() []any {
	attributes := []any{"limit", int64(l.rate)}
	for d := range link.Directions {
		purposes := []any{"share", float64(int(l.share(d)*100)) / 100}
		for p := range link.Purposes {
			if bytes := l.bytes[d][p]; bytes > 0 {
				purposes = append(purposes, p.String(), int64(float64(bytes)/l.elapsed.Seconds()))
			}
		}
		attributes = append(attributes, slog.Group(d.String(), purposes...))
	}
	return attributes
}
