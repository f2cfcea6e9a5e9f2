// Package handover decides when the owner of a service gives up its duty in favour of an instance with
// more CPU capacity. Instances claim a vacant duty in the order of their capacity, but after a
// disruption a small one may be the first that reaches the store.
package handover

import "time"

const (
	// minCPUShare is the minimum used share of the instance's CPU capacity. It is below 1 since the
	// process does not see all CPU time that it is charged, such as that of the kernel.
	minCPUShare = 0.7
	// minFullShare is the minimum share of full batches: the store takes less than could start.
	minFullShare = 0.5
	// overloadedTime is how long an owner has to be overloaded without interruption: a new owner works
	// off what it has inherited first, and a handover costs the service about a second.
	overloadedTime = 3 * time.Second
	// minSchedulableWait is how long a job must have had tasks that could start: where executors are nearly
	// full, a few tasks always fit that the next batch starts.
	minSchedulableWait = 1 * time.Second
	// MinTerm is the minimum time that an owner leads before a handover.
	MinTerm = 5 * time.Second
	// MinSpacing is the minimum time from the beginning of the previous term to a handover. It bounds the
	// cost if the instances with more capacity can't claim the duty and a small one is next.
	MinSpacing = 15 * time.Second
	// minCapacityRatio is how many times the capacity that the owner has for each of its duties a successor has
	// to have.
	minCapacityRatio = 2
)

// Load is the load of an owner between two reports.
type Load struct {
	At          time.Time     // end of the period
	Period      time.Duration // since the last report
	CPUTime     time.Duration // used by the process in the period
	Cores       float64       // CPU capacity of the instance; zero if unknown
	Batches     int
	Full        int // batches that left out starts or writes
	Schedulable int // waiting tasks for which usable executors have free capacity
	// SchedulableOldest is the longest time that a job has had such tasks.
	SchedulableOldest time.Duration
}

// overloaded reports whether the owner is short of CPU time while tasks could start.
func (l Load) overloaded() bool {
	if l.Cores <= 0 || l.Period <= 0 || l.Schedulable == 0 || l.Batches == 0 {
		return false
	}
	cpuShare := l.CPUTime.Seconds() / (l.Cores * l.Period.Seconds())
	return cpuShare >= minCPUShare && float64(l.Full) >= minFullShare*float64(l.Batches)
}

// Detector detects that an owner has been overloaded for a while. The zero value is ready to use.
type Detector struct {
	since time.Time // beginning of the first period of the overload; zero without overload
}

// Overloaded records the load of a period and reports whether the owner has been overloaded for long
// enough to hand over its duty.
func (d *Detector) Overloaded(l Load) bool {
	if !l.overloaded() {
		d.since = time.Time{}
		return false
	}
	if d.since.IsZero() {
		d.since = l.At.Add(-l.Period)
	}
	return l.At.Sub(d.since) >= overloadedTime && l.SchedulableOldest >= minSchedulableWait
}

// Sufficient reports whether an instance without duties and with the given CPU capacity in cores may succeed
// an overloaded owner with the capacity own, which its duties share. Unknown capacities are zero.
func Sufficient(candidate, own float64, duties int) bool {
	return own > 0 && duties > 0 && candidate*float64(duties) >= minCapacityRatio*own
}
