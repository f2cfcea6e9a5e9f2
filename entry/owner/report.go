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
	reportEvery = 1 * time.Second
	// waitsLong is how long something must have waited for a line in the log.
	waitsLong = 3 * time.Second
	// slowLoop is how long an event may wait for the loop before the owner counts as
	// short of processor time.
	slowLoop = 100 * time.Millisecond
	// fullShare of the instance's processor room in use counts as short of it, too.
	fullShare = 0.9
	// reasonNotRead is that of jobs which the owner has not read back yet.
	reasonNotRead shard.Reason = "not-read-back"
)

// delays is what an owner notes of its own slowness between two reports.
type delays struct {
	ledSince   time.Time
	reportedAt time.Time
	heardAt    time.Time     // when the store last told which jobs there are
	late       time.Duration // the longest that an event waited for the loop
	processor  time.Duration // used by the process up to the last report
}

// timed notes how long an event waits for the loop.
func (o *Owner) timed(e event) event {
	sent := time.Now()
	return func(now time.Time) {
		o.delays.late = max(o.delays.late, now.Sub(sent))
		e(now)
	}
}

// report measures, once a second, which jobs wait and why, and logs it where something
// has waited long.
func (o *Owner) report(now time.Time) {
	period := now.Sub(o.delays.reportedAt)
	if period < reportEvery {
		return
	}
	late := o.delays.late
	used := o.processorUsed()
	o.delays.reportedAt, o.delays.late = now, 0
	short := late >= slowLoop || o.Cores > 0 && used.Seconds() >= fullShare*o.Cores*period.Seconds()
	r := o.shard.Waiting(now, short)
	o.measure(r, late)
	unheard := now.Sub(o.delays.heardAt)
	if max(r.Oldest, r.SchedulableOldest, unheard) < waitsLong {
		return
	}
	o.Logger.Warn("jobs wait", "led_ms", now.Sub(o.delays.ledSince).Milliseconds(), "unheard_ms", unheard.Milliseconds(),
		"jobs", r.Jobs, "oldest_ms", r.Oldest.Milliseconds(), "why", reasonsOf(r), "named", namesOf(r),
		"fitting_tasks", r.Schedulable, "fitting_oldest_ms", r.SchedulableOldest.Milliseconds(),
		"late_ms", late.Milliseconds(), "batches", r.Batches, "batches_full", r.Full, "storing_ms", r.Storing.Milliseconds(),
		"processor_ms", used.Milliseconds(), "period_ms", period.Milliseconds())
}

// reasonLine is what the log says of one reason.
type reasonLine struct {
	Jobs     int    `json:"jobs,omitempty"` // left out where it is not known
	Oldest   string `json:"oldest,omitempty"`
	OldestMs int64  `json:"oldest_ms,omitempty"`
}

func reasonsOf(r shard.Report) map[shard.Reason]reasonLine {
	lines := map[shard.Reason]reasonLine{}
	for reason, c := range r.ByReason {
		lines[reason] = reasonLine{c.Jobs, string(c.Oldest), c.OldestWait.Milliseconds()}
	}
	return lines
}

// namesOf lists the jobs that a report names, by their reasons.
func namesOf(r shard.Report) map[shard.Reason][]job.ID {
	names := map[shard.Reason][]job.ID{}
	for _, id := range slices.Sorted(maps.Keys(r.Samples)) {
		names[r.Samples[id]] = append(names[r.Samples[id]], id)
	}
	return names
}

// measure sets the gauges.
func (o *Owner) measure(r shard.Report, late time.Duration) {
	for _, reason := range shard.Reasons {
		scope := o.Scope.Tagged(map[string]string{"reason": string(reason)})
		scope.Gauge("waiting_jobs").Update(float64(r.ByReason[reason].Jobs))
	}
	o.Scope.Gauge("waiting_oldest_seconds").Update(r.Oldest.Seconds())
	o.Scope.Gauge("fitting_tasks").Update(float64(r.Schedulable))
	o.Scope.Gauge("fitting_oldest_seconds").Update(r.SchedulableOldest.Seconds())
	o.Scope.Gauge("late_seconds").Update(late.Seconds())
	o.Scope.Gauge("full_batches_share").Update(float64(r.Full) / float64(max(1, r.Batches)))
}

// processorUsed is the processor time of the whole process since it was asked last.
func (o *Owner) processorUsed() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		o.Logger.Warn("processor time can't be read", "error", err)
		return 0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	used := total - o.delays.processor
	o.delays.processor = total
	return used
}

// tellReading logs, until done is called, that the jobs are not read back yet.
func (o *Owner) tellReading(ctx context.Context) (done func()) {
	ctx, cancel := context.WithCancel(ctx)
	began := time.Now()
	go func() {
		for backoff.Sleep(ctx, reportEvery) == nil {
			o.Logger.Warn("jobs wait", "why", map[shard.Reason]reasonLine{reasonNotRead: {}}, "led_ms", time.Since(began).Milliseconds())
		}
	}()
	return cancel
}
