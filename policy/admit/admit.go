// Package admit decides whether an instance accepts a job or rejects it at once, from what the
// owner of the job's service has published about its waits.
//
// In doubt a job is accepted: without knowledge, with old knowledge, or if the wait is not clearly
// longer than the job can bear.
package admit

import (
	"hash/fnv"
	"strconv"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// Reason is why a job is rejected.
type Reason string

// The reasons.
const (
	// ReasonCapacity: work that goes first occupies the service for too long.
	ReasonCapacity Reason = "no-capacity-in-time"
	// ReasonLimit: the tenant's own limit is used up for too long.
	ReasonLimit Reason = "tenant-limit"
	// ReasonRate: the tenant sends more than its rate, and others wait for capacity.
	ReasonRate Reason = "beyond-rate"
	// ReasonEarly: the job was rejected before, and the caller was told a later time.
	ReasonEarly Reason = "retry-too-early"
)

const (
	// MaxAge is the age from which knowledge counts for nothing.
	MaxAge = 1500 * time.Millisecond
	// maxAhead is how far the owner's clock may be ahead of the instance's.
	maxAhead = 500 * time.Millisecond
	// marginBase is how far the wait of a new job must exceed its slack, at least.
	marginBase = 50 * time.Millisecond
	// marginSpread is up to how much further, depending on the job: that lets the accepted share
	// fall evenly as the wait grows, instead of from all to nothing on all instances at once.
	marginSpread = 150 * time.Millisecond
	// marginReturned is the margin of a job that comes back when its caller was told; it exceeds
	// that of every new job.
	marginReturned = 250 * time.Millisecond
	// startOverhead is the time from the acceptance of a job to its first start beside its wait
	// for capacity: the write, its way to the owner, the batch and the command.
	startOverhead = 100 * time.Millisecond
)

// Knowledge is what an instance knows about a service.
type Knowledge struct {
	shard.Admission
	// Received is how long ago this instance learned of it, by its own clock.
	Received time.Duration
	// TermOver is set if the term that published it is known to be over.
	TermOver bool
}

// Age returns the age of the knowledge at the given time: the time since it was computed, but
// at least the time since it was received. It is valid up to MaxAge.
func (k *Knowledge) Age(now time.Time) (age time.Duration, valid bool) {
	age = now.Sub(time.UnixMilli(k.AtMs))
	if age < -maxAhead {
		return age, false // one of the two clocks is wrong
	}
	age = max(age, k.Received)
	return age, age <= MaxAge && !k.TermOver
}

// Request is a job that a caller submits.
type Request struct {
	ID     job.ID
	Queue  string
	Tenant cluster.TenantName
	// Objective and Slack are as of shard.StartSlack.
	Objective, Slack time.Duration
	Need             job.Resources // of the tasks of its first step
	// Returned is set if the job was rejected before and comes back when its caller was told.
	Returned bool
}

// Decision is whether a job is accepted, and by what.
type Decision struct {
	Rejected   bool
	Reason     Reason
	RetryAfter time.Duration // whole seconds
	Wait       time.Duration // expected
	Slack      time.Duration
	Age        time.Duration // of the knowledge
}

// Decide decides by the knowledge that the instance has; nil if it has none.
func Decide(k *Knowledge, r Request, now time.Time) Decision {
	d := Decision{Slack: max(0, r.Slack)}
	if k == nil {
		return d
	}
	var valid bool
	if d.Age, valid = k.Age(now); !valid {
		return d
	}
	h := hashOf(r.ID, now)
	margin := marginBase + time.Duration(h*float64(marginSpread))
	if r.Returned {
		margin = marginReturned
	}
	percent, beyond := k.Excess[r.Tenant]
	limit := time.Duration(k.LimitMs[r.Tenant])*time.Millisecond - d.Age
	wait := k.wait(r)
	switch {
	case beyond && !r.Returned && 100*h >= float64(percent):
		d.Reason, d.Wait = ReasonRate, wait
	case limit > d.Slack+margin:
		d.Reason, d.Wait = ReasonLimit, limit
	case wait > d.Slack+margin:
		d.Reason, d.Wait = ReasonCapacity, wait
	default:
		d.Wait = max(0, wait, limit)
		return d
	}
	d.Rejected = true
	d.RetryAfter = k.retryAfter(r, d)
	return d
}

// wait returns the expected wait from the acceptance of the job to the start of its first step.
func (k *Knowledge) wait(r Request) time.Duration {
	w, known := k.Queues[r.Queue]
	if !known {
		return 0
	}
	if wait := w.Wait(r.Objective, r.Need); wait > 0 {
		return startOverhead + wait
	}
	return 0
}

const (
	// minSpread and maxSpread bound the seconds over which callers are told to come back.
	minSpread = 2
	maxSpread = 10
	// farBeyond is the percentage of its jobs below which a tenant is far beyond its rate.
	farBeyond = 50
)

// retryAfter returns when the caller should come back: when capacity is expected, spread by the
// job's ID over as many seconds as the backlog is long. Tenants beyond their rates come after the
// others, and those far beyond them even later.
func (k *Knowledge) retryAfter(r Request, d Decision) time.Duration {
	expected := max(0, time.Duration(k.CapacityMs)*time.Millisecond-d.Age, d.Wait-d.Slack)
	first := int64(max(1, (expected+time.Second-1)/time.Second))
	spread := min(max(minSpread, first+1), maxSpread)
	if percent, beyond := k.Excess[r.Tenant]; beyond {
		first += spread
		if percent < farBeyond {
			first += spread
		}
	}
	return time.Duration(first+int64(hash(string(r.ID))%uint64(spread))) * time.Second
}

// hashOf returns a number from 0 to 1 for a job that differs each second, so that a job which was
// rejected is not at the same disadvantage when it comes back.
func hashOf(id job.ID, now time.Time) float64 {
	const steps = 1 << 20
	return float64(hash(string(id)+strconv.FormatInt(now.Unix(), 10))%steps) / steps
}

func hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s)) // never fails
	x := h.Sum64()
	x ^= x >> 33 // the low bits of FNV depend little on the last characters
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
