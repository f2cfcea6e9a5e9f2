package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// reportEvery is the time between two reports on jobs that wait.
	reportInterval = 1 * time.Second
	// waitsLong is how long something must have waited for a line in the log.
	longWait = 3 * time.Second
	// slowLoop is how long an event may wait for the loop before the owner counts as
	// short of processor time.
	overloadedDelay = 100 * time.Millisecond
	// fullShare of the instance's processor room in use counts as short of it, too.
	overloadedCPUShare = 0.9
	// reasonNotRead is that of jobs which the owner has not read back yet.
	reasonNotLoaded shard.Reason = "not-read-back"
)

// delays is what an owner notes of its own slowness between two reports.
type delays struct {
	ledSince      time.Time
	reportedAt    time.Time
	lastContact   time.Time     // when the store last told which jobs there are
	maxEventDelay time.Duration // the longest that an event waited for the loop
	cpuTime       time.Duration // used by the process up to the last report
}

// timed notes how long an event waits for the loop.
func (o *Owner) timed(e event) event {
	sent := time.Now()
	return func(now time.Time) {
		o.delays.maxEventDelay = max(o.delays.maxEventDelay, now.Sub(sent))
		e(now)
	}
}

// report measures, once a second, which jobs wait and why, and logs it where something
// has waited long.
func (o *Owner) report(now time.Time) {
	period := now.Sub(o.delays.reportedAt)
	if period < reportInterval {
		return
	}
	delay := o.delays.maxEventDelay
	used := o.cpuTimeUsed()
	o.delays.reportedAt, o.delays.maxEventDelay = now, 0
	overloaded := delay >= overloadedDelay || o.Cores > 0 && used.Seconds() >= overloadedCPUShare*o.Cores*period.Seconds()
	r := o.shard.Waiting(now, overloaded)
	o.measure(r, delay)
	sinceContact := now.Sub(o.delays.lastContact)
	if max(r.Oldest, r.SchedulableOldest, sinceContact) < longWait {
		return
	}
	o.Logger.Warn("jobs wait", "led_ms", now.Sub(o.delays.ledSince).Milliseconds(), "unheard_ms", sinceContact.Milliseconds(),
		"jobs", r.Jobs, "oldest_ms", r.Oldest.Milliseconds(), "why", reasonsOf(r), "named", samplesOf(r),
		"fitting_tasks", r.Schedulable, "fitting_oldest_ms", r.SchedulableOldest.Milliseconds(),
		"late_ms", delay.Milliseconds(), "batches", r.Batches, "batches_full", r.Full, "storing_ms", r.Storing.Milliseconds(),
		"processor_ms", used.Milliseconds(), "period_ms", period.Milliseconds())
}

// reasonLine is what the log says of one reason.
type reasonEntry struct {
	Jobs     int    `json:"jobs,omitempty"` // left out where it is not known
	Oldest   string `json:"oldest,omitempty"`
	OldestMs int64  `json:"oldest_ms,omitempty"`
}

func reasonsOf(r shard.Report) map[shard.Reason]reasonEntry {
	entries := map[shard.Reason]reasonEntry{}
	for reason, c := range r.ByReason {
		entries[reason] = reasonEntry{c.Jobs, string(c.Oldest), c.For.Milliseconds()}
	}
	return entries
}

// namesOf lists the jobs that a report names, by their reasons.
func samplesOf(r shard.Report) map[shard.Reason][]job.ID {
	samples := map[shard.Reason][]job.ID{}
	for _, id := range slices.Sorted(maps.Keys(r.Samples)) {
		samples[r.Samples[id]] = append(samples[r.Samples[id]], id)
	}
	return samples
}

// measure sets the gauges.
func (o *Owner) measure(r shard.Report, delay time.Duration) {
	for _, reason := range shard.Reasons {
		scope := o.Scope.Tagged(map[string]string{"reason": string(reason)})
		scope.Gauge("waiting_jobs").Update(float64(r.ByReason[reason].Jobs))
	}
	o.Scope.Gauge("waiting_oldest_seconds").Update(r.Oldest.Seconds())
	o.Scope.Gauge("fitting_tasks").Update(float64(r.Schedulable))
	o.Scope.Gauge("fitting_oldest_seconds").Update(r.SchedulableOldest.Seconds())
	o.Scope.Gauge("late_seconds").Update(delay.Seconds())
	o.Scope.Gauge("full_batches_share").Update(float64(r.Full) / float64(max(1, r.Batches)))
}

// processorUsed is the processor time of the whole process since it was asked last.
func (o *Owner) cpuTimeUsed() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		o.Logger.Warn("processor time can't be read", "error", err)
		return 0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	used := total - o.delays.cpuTime
	o.delays.cpuTime = total
	return used
}

// tellReading logs, until done is called, that the jobs are not read back yet.
func (o *Owner) logLoading(ctx context.Context) (done func()) {
	ctx, cancel := context.WithCancel(ctx)
	start := time.Now()
	go func() {
		for backoff.Sleep(ctx, reportInterval) == nil {
			o.Logger.Warn("jobs wait", "why", map[shard.Reason]reasonEntry{reasonNotLoaded: {}}, "led_ms", time.Since(start).Milliseconds())
		}
	}()
	return cancel
}
