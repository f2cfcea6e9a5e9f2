package dev

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/dev/load"
)

// progressInterval is the time between two progress lines.
const progressInterval = time.Second

// maxRolloutTime is the time within which a change must be in force on every entry
// instance.
const maxRolloutTime = 9 * time.Second

// Summary is the result of a run.
type Summary struct {
	OK      bool           `json:"ok"`
	Broken  []string       `json:"broken,omitempty"`
	Classes []load.Summary `json:"classes"`
	Rollout Rollout        `json:"rollOut"`
	Drain   Drain          `json:"drain"`
	Tasks   Tasks          `json:"tasks"`
}

// evaluate sets OK and lists the broken guarantees in Broken.
func (s *Summary) evaluate() {
	for _, c := range s.Classes {
		if c.Faulty > 0 {
			s.Broken = append(s.Broken, fmt.Sprintf("class %s: %d faulty requests", c.Class, c.Faulty))
		}
		if c.Succeeded == 0 {
			s.Broken = append(s.Broken, fmt.Sprintf("class %s: no request succeeded", c.Class))
		}
	}
	if time.Duration(s.Rollout.InForceEverywhere) > maxRolloutTime {
		s.Broken = append(s.Broken, fmt.Sprintf("the change took %s to be in force everywhere", time.Duration(s.Rollout.InForceEverywhere)))
	}
	if s.Drain.RunsAfter > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("the drained instance ran %d new requests", s.Drain.RunsAfter))
	}
	if s.Tasks.RanTwice > 0 {
		s.Broken = append(s.Broken, fmt.Sprintf("%d tasks ran twice", s.Tasks.RanTwice))
	}
	s.OK = len(s.Broken) == 0
}

func printSummary(o Options, f *devFleet, s Summary) error {
	if o.JSON {
		encoder := json.NewEncoder(o.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(s)
	}
	if err := printClasses(o.Out, s.Classes); err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "\nrevision %d in force on %d entry instances after %s, while the store was unavailable\n",
		s.Rollout.Revision, len(f.entries), time.Duration(s.Rollout.InForceEverywhere).Round(time.Millisecond))
	fmt.Fprintf(o.Out, "%s drained, out of routing after %s, ran %d requests later than %s after the drain\n",
		s.Drain.Instance, time.Duration(s.Drain.OutOfRouting).Round(time.Millisecond), s.Drain.RunsAfter, drainDeadline)
	fmt.Fprintf(o.Out, "job %s: %d tasks, %d done, %d running\n", jobReconcile, jobTasks, s.Tasks.Done, s.Tasks.Running)
	for _, b := range s.Broken {
		fmt.Fprintln(o.Out, "broken:", b)
	}
	if o.Stay {
		printAddresses(o.Out, f)
	}
	return nil
}

func printClasses(out io.Writer, classes []load.Summary) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "CLASS\tSENT\tANSWERED\tREFUSED\tP50\tP99\tRAN\tNOT-RUN\tMAY-HAVE-RUN\tFAULTY")
	for _, c := range classes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%s\t%d\t%d\t%d\t%d\n", c.Class, c.Sent, c.Succeeded, c.Refused,
			round(c.P50), round(c.P99), c.Verdicts.Ran, c.Verdicts.NotRun, c.Verdicts.MayHaveRun, c.Faulty)
		for _, fault := range c.Faults {
			fmt.Fprintf(w, "  %s\n", fault)
		}
	}
	return w.Flush()
}

func round[D ~int64](d D) string { return time.Duration(d).Round(100 * time.Microsecond).String() }

func printAddresses(out io.Writer, f *devFleet) {
	fmt.Fprintln(out)
	for _, e := range f.entries {
		fmt.Fprintf(out, "%s  callers http://%s  operators %s\n", e.Status().Instance, e.CallerAddr(), e.OperatorAddr())
	}
	fmt.Fprintf(out, "stand-in platform http://%s (fault switches under /admin/)\n\nTry:\n", f.address)
	fmt.Fprintf(out, "  curl -i -H 'Tarragon-Tenant: %s' -H 'Tarragon-Class: %s' http://%s/s/%s/hello\n",
		tenantOffice, classCheck, f.entries[0].CallerAddr(), serviceCounter)
	fmt.Fprintf(out, "  go run ./cmd/tarragonctl --server %s status\n", f.entries[0].OperatorAddr())
}

// showProgress prints the counts of each class every progressInterval until ctx ends.
func showProgress(ctx context.Context, out io.Writer, generator *load.Generator) {
	ticker := time.NewTicker(progressInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			for _, s := range generator.Summaries() {
				fmt.Fprintf(out, "%s: %d sent, %d answered, %d refused, p99 %s   ", s.Class, s.Sent, s.Succeeded, s.Refused, round(s.P99))
			}
			fmt.Fprintln(out)
		}
	}
}
