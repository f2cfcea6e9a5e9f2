package mesh

import (
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/mesh/wire"
)

// Reasons for which messages and connections are refused.
const (
	reasonUnknownKind = "unknown-kind"
	reasonMalformed   = "malformed"
	reasonTooLarge    = "too-large"
	reasonOverBudget  = "over-budget"
	reasonQueueFull   = "queue-full"
	reasonMergeFailed = "merge-failed"
	reasonNoIdentity  = "no-identity"
	reasonSecondConn  = "second-connection"
	reasonSelf        = "self"
	reasonHandshake   = "handshake-failed"
)

// kindCount is one more than the largest kind that has its own counter.
const kindCount = int(wire.KindResponse) + 1

// Count is a number of messages and their total size in bytes, without transport overhead.
type Count struct {
	Messages int64
	Bytes    int64
}

// Traffic holds the counts of a Node by kind of message.
type Traffic struct {
	Sent     map[wire.Kind]Count
	Received map[wire.Kind]Count
}

type counter struct {
	messages atomic.Int64
	bytes    atomic.Int64
}

type traffic struct {
	metrics  Metrics
	sent     [kindCount]counter
	received [kindCount]counter
}

func newTraffic(metrics Metrics) *traffic {
	return &traffic{metrics: metrics}
}

func (t *traffic) countSent(kind wire.Kind, bytes int) {
	addCount(&t.sent, kind, bytes)
	t.metrics.MessageSent(kind.String(), bytes)
}

func (t *traffic) countReceived(kind wire.Kind, bytes int) {
	addCount(&t.received, kind, bytes)
	t.metrics.MessageReceived(kind.String(), bytes)
}

func (t *traffic) countRefused(reason string) {
	t.metrics.MessageRefused(reason)
}

func (t *traffic) snapshot() Traffic {
	return Traffic{Sent: readCounts(&t.sent), Received: readCounts(&t.received)}
}

// addCount counts one message. Kinds of other versions of the program count as kind zero.
func addCount(counters *[kindCount]counter, kind wire.Kind, bytes int) {
	i := int(kind)
	if i >= kindCount {
		i = 0
	}
	counters[i].messages.Add(1)
	counters[i].bytes.Add(int64(bytes))
}

func readCounts(counters *[kindCount]counter) map[wire.Kind]Count {
	counts := make(map[wire.Kind]Count)
	for i := range counters {
		messages := counters[i].messages.Load()
		if messages > 0 {
			counts[wire.Kind(i)] = Count{Messages: messages, Bytes: counters[i].bytes.Load()}
		}
	}
	return counts
}
