package owner

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/policy/handover"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// reportInterval is the time between two reports on waiting jobs.
	reportInterval = 1 * time.Second
	// longWait is the minimum wait that is logged.
	longWait = 3 * time.Second
	// overloadedDelay is the minimum delay of an event in the queue at which the owner
	// counts as overloaded.
	overloadedDelay = 100 * time.Millisecond
	// overloadedCPUShare is the minimum used share of the instance's CPU capacity at which
	// the owner counts as overloaded, too.
	overloadedCPUShare = 0.9
	// reasonNotLoaded is the reason of all jobs until the owner has loaded the shard.
	reasonNotLoaded shard.Reason = "not-read-back"
)

// delays holds what an owner measures of its own delays between two reports.
type delays struct {
	ledSince      time.Time
	reportedAt    time.Time
	lastContact   time.Time     // when the store last delivered a listing or changes of the jobs
	maxEventDelay time.Duration // longest wait of an event for the loop
	cpuTime       time.Duration // used by the process up to the last call of cpuTimeUsed
}

// timed wraps an event to measure how long it waits for the loop.
func (o *Owner) timed(e event) event {
	sent := time.Now()
	return func(now time.Time) {
		o.delays.maxEventDelay = max(o.delays.maxEventDelay, now.Sub(sent))
		e(now)
	}
}

// report measures once per reportInterval which jobs wait and for which reasons, which
// long-running tasks have no live run, and which executors are unusable. It logs the jobs if
// one of them or a schedulable task has waited for longWait, or if the last contact with the
// store was that long ago.
func (o *Owner) report(now time.Time) {
	o.logCrashes()
	o.logRestarts()
	o.logGivenUp()
	o.logPrepared()
	period := now.Sub(o.delays.reportedAt)
	if period < reportInterval {
		return
	}
	delay := o.delays.maxEventDelay
	used := o.cpuTimeUsed()
	o.delays.reportedAt, o.delays.maxEventDelay = now, 0
	o.closeUnusedClients(now)
	overloaded := delay >= overloadedDelay || o.Cores > 0 && used.Seconds() >= overloadedCPUShare*o.Cores*period.Seconds()
	r := o.shard.Waiting(now, overloaded)
	o.measure(r, delay)
	o.reportCalls(period)
	o.reportAdvice(r.Advice, period)
	o.reportLedgers()
	o.logUsabilityChanges(r.Executors.Changes, now)
	o.logSuspicions(r.Executors.Suspicions, now)
	o.logLongRunning(r, delay)
	sinceContact := now.Sub(o.delays.lastContact)
	o.considerHandover(handover.Load{
		At: now, Period: period, CPUTime: used, Cores: o.Cores,
		Batches: r.Batches, Full: r.Full, Schedulable: r.Schedulable, SchedulableOldest: r.SchedulableOldest,
	})
	if max(r.Oldest, r.SchedulableOldest, sinceContact) < longWait {
		return
	}
	o.Logger.Warn("jobs wait", "led_ms", now.Sub(o.delays.ledSince).Milliseconds(), "unheard_ms", sinceContact.Milliseconds(),
		"jobs", r.Jobs, "oldest_ms", r.Oldest.Milliseconds(), "why", reasonsOf(r), "named", samplesOf(r),
		"fitting_tasks", r.Schedulable, "fitting_oldest_ms", r.SchedulableOldest.Milliseconds(),
		"late_ms", delay.Milliseconds(), "batches", r.Batches, "batches_full", r.Full, "storing_ms", r.Storing.Milliseconds(),
		"processor_ms", used.Milliseconds(), "period_ms", period.Milliseconds(),
		"executors", r.Executors.Listed, "unusable", r.Executors.Unusable, "reserved", reservationsOf(r.Reservation, now))
}

// reservationEntry is the part of a log line about the room that is held for one step.
type reservationEntry struct {
	Job       job.ID               `json:"job"`
	Step      int                  `json:"step"`
	Need      job.Resources        `json:"need"`
	Executors []cluster.ExecutorID `json:"executors"`
	HeldMs    int64                `json:"held_ms"`
	UntilMs   int64                `json:"until_ms"` // until its last task is expected to start
}

func reservationsOf(r shard.ReservationReport, now time.Time) []reservationEntry {
	var entries []reservationEntry
	for _, n := range r.Present {
		entries = append(entries, reservationEntry{
			n.Job, n.Step, n.Need, n.Executors, now.Sub(n.Since).Milliseconds(), n.Until.Sub(now).Milliseconds(),
		})
	}
	return entries
}

// measureReservations counts the reservations and sets the gauges of the present ones.
func (o *Owner) measureReservations(r shard.ReservationReport) {
	executors := 0
	for _, n := range r.Present {
		executors += len(n.Executors)
	}
	o.Scope.Gauge("held_executors").Update(float64(executors))
	for event, n := range map[string]int{"held": r.Held, "used": r.Used, "given_up": r.GivenUp} {
		o.Scope.Tagged(map[string]string{"event": event}).Counter("reservations").Inc(int64(n))
	}
}

// reasonEntry is the part of a log line about the jobs that wait for one reason.
type reasonEntry struct {
	Jobs     int    `json:"jobs,omitempty"` // omitted if unknown
	Oldest   string `json:"oldest,omitempty"`
	OldestMs int64  `json:"oldest_ms,omitempty"`
}

func reasonsOf(r shard.Report) map[shard.Reason]reasonEntry {
	entries := map[shard.Reason]reasonEntry{}
	for reason, c := range r.ByReason {
		entries[reason] = reasonEntry{c.Jobs, string(c.Oldest), c.OldestWait.Milliseconds()}
	}
	return entries
}

// samplesOf returns the IDs of a report's sample jobs by reason.
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
	o.measureExecutors(r.Executors)
	o.measureReservations(r.Reservation)
	o.measureLongRunning(r.LongRunning)
	o.measureTenants(r.Tenants)
}

// measureTenants counts the jobs by tenant and sets the gauges of the tenants. Those of tenants that
// the last report had and this one lacks are reset.
func (o *Owner) measureTenants(reports []shard.TenantReport) {
	reported := make(map[cluster.TenantName]bool, len(reports))
	for _, r := range reports {
		reported[r.Tenant] = true
		scope := o.Scope.Tagged(map[string]string{"tenant": string(r.Tenant)})
		scope.Tagged(map[string]string{"rate": "within"}).Counter("tenant_jobs").Inc(r.WithinRate)
		scope.Tagged(map[string]string{"rate": "beyond"}).Counter("tenant_jobs").Inc(r.BeyondRate)
		scope.Gauge("tenant_share").Update(r.Share)
		scope.Gauge("tenant_weight").Update(r.Weight)
	}
	for tenant := range o.reportedTenants {
		if !reported[tenant] {
			scope := o.Scope.Tagged(map[string]string{"tenant": string(tenant)})
			scope.Gauge("tenant_share").Update(0)
			scope.Gauge("tenant_weight").Update(0)
		}
	}
	o.reportedTenants = reported
}

// cpuTimeUsed returns the CPU time that the whole process used since the last call.
func (o *Owner) cpuTimeUsed() time.Duration {
	var usage unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &usage); err != nil {
		o.Logger.Warn("can't read CPU time", "error", err)
		return 0
	}
	total := time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
	used := total - o.delays.cpuTime
	o.delays.cpuTime = total
	return used
}

// logLoading logs every reportInterval, until done is called, that the jobs are not loaded
// yet.
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
