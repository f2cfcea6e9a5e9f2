package owner

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/bound"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// readRecord decodes a job's record. One that no instance has accepted, since it is of another job or its
// definition is not valid, is an error. Earlier versions accepted numbers that are now refused when a job
// is submitted; these are brought into range, since an accepted job has to end.
func readRecord(id job.ID, item kv.Item) (shard.Record, error) {
	r, err := layout.Decode[shard.Record](item.Key, item.Value)
	if err != nil {
		return r, err
	}
	if r.ID != id {
		return r, fmt.Errorf("entry %s: record of job %q", item.Key, r.ID)
	}
	r.Definition = inRange(r.Definition)
	if err := r.Definition.Validate(); err != nil {
		return r, fmt.Errorf("entry %s: %w", item.Key, err)
	}
	return r, nil
}

// inRange returns the definition with its numbers within the range of submissions, other than counts,
// references to steps and negative needs, which no version has accepted out of range. A definition that
// may be submitted stays as it is.
func inRange(d job.Definition) job.Definition {
	d.Steps = slices.Clone(d.Steps)
	duration, work := bound.MaxDuration, float64(bound.MaxWork) // that the later steps may have
	for n := range d.Steps {
		s := &d.Steps[n]
		s.Need = bound.NearestResources(s.Need)
		s.MaxPerServer = max(0, s.MaxPerServer)
		s.MaxUnavailable = max(0, s.MaxUnavailable)
		s.TargetLatency = min(max(0, s.TargetLatency), bound.MaxDuration)
		s.Estimate = min(max(0, s.Estimate), duration)
		if rate := float64(s.Count) * float64(s.Need.MilliCPU); rate > 0 {
			s.Estimate = min(s.Estimate, bound.NearestDuration(math.Floor(work/rate), time.Millisecond))
			work = max(0, work-rate*float64(s.Estimate.Milliseconds()))
		}
		duration -= s.Estimate
	}
	// An interval that overflowed is negative: each occurrence is due by the first run.
	d.Schedule.Interval = max(0, d.Schedule.Interval)
	if d.Schedule.Count > 0 {
		d.Schedule.Interval = min(d.Schedule.Interval, bound.MaxDuration, bound.MaxScheduleSpan/time.Duration(d.Schedule.Count))
	}
	return d
}
