package jobctl

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/platform"
)

// JobReport is the status of a job according to its pages.
type JobReport struct {
	Name    string
	Tenant  string
	Tasks   int
	Waiting int
	Running int
	Done    int
	// Reason says why no task starts, or that starts failed; empty otherwise.
	Reason string
}

// ReportJobs returns the status of each configured job, ordered by name. Pages that
// cannot be decoded are left out.
func ReportJobs(config *object.Config, entries []platform.Entry) []JobReport {
	reports := map[string]*JobReport{}
	for name, job := range config.Jobs {
		reports[name] = &JobReport{Name: name, Tenant: job.Spec.Tenant, Tasks: job.Spec.Tasks}
		if job.Spec.Canceled {
			reports[name].Reason = "canceled"
		}
	}
	for _, entry := range entries {
		name, _, err := parsePageKey(entry.Key)
		var page fleet.JobPage
		if err == nil {
			err = json.Unmarshal(entry.Value, &page)
		}
		if report := reports[name]; err == nil && report != nil {
			report.add(page)
		}
	}
	var out []JobReport
	for _, name := range slices.Sorted(maps.Keys(reports)) {
		out = append(out, *reports[name])
	}
	return out
}

func (r *JobReport) add(page fleet.JobPage) {
	failures := 0
	for _, t := range page.Tasks {
		failures += t.Failures
	}
	r.Waiting += countPhase(page, fleet.TaskPending)
	r.Running += countPhase(page, fleet.TaskStarted)
	r.Done += countPhase(page, fleet.TaskDone)
	switch {
	case page.Quarantined != "":
		r.Reason = "quarantined: " + page.Quarantined
	case failures > 0 && r.Reason == "":
		r.Reason = fmt.Sprintf("%d failed starts", failures)
	}
}
