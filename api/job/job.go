// Package job holds the types of jobs: a job has steps, a step has tasks, and a task
// has runs, each on one executor.
package job

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// ID identifies a job. The caller chooses it: 16 lower-case hexadecimal digits.
type ID string

var idPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ParseID returns the ID, or an error that states the expected form.
func ParseID(s string) (ID, error) {
	if !idPattern.MatchString(s) {
		return "", fmt.Errorf("job ID %q: want 16 hexadecimal digits", s)
	}
	return ID(s), nil
}

// State is the state of a job that callers read.
type State string

// The states of a job. The last three are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Final reports whether the state never changes again.
func (s State) Final() bool { return s == Completed || s == Failed || s == Cancelled }

// Resources is the capacity of an executor or the need of one task: CPU in thousandths
// of a core, memory in MB and a number of GPUs.
type Resources struct {
	MilliCPU int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"mem,omitempty"`
	GPU      int64 `json:"gpu,omitempty"`
}

// Add returns r plus o.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.MilliCPU + o.MilliCPU, r.MemoryMB + o.MemoryMB, r.GPU + o.GPU}
}

// Sub returns r minus o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.MilliCPU - o.MilliCPU, r.MemoryMB - o.MemoryMB, r.GPU - o.GPU}
}

// Fits reports whether r is at most o in each dimension.
func (r Resources) Fits(o Resources) bool {
	return r.MilliCPU <= o.MilliCPU && r.MemoryMB <= o.MemoryMB && r.GPU <= o.GPU
}

// Step is one step of a job: a number of equal tasks.
type Step struct {
	Count         int           `json:"count"`
	Need          Resources     `json:"need"`
	Estimate      time.Duration `json:"estimate,omitempty"` // rough run time of one task
	After         []int         `json:"after,omitempty"`    // earlier steps that must be done first
	Checkpointing bool          `json:"checkpointing,omitempty"`
	Gang          bool          `json:"gang,omitempty"`     // gang scheduling: all tasks run or none
	SameRack      bool          `json:"sameRack,omitempty"` // slower when spread over racks
	RequiredLabel string        `json:"requiredLabel,omitempty"`
	Affinity      string        `json:"affinity,omitempty"`     // rack that holds the data
	MaxPerServer  int           `json:"maxPerServer,omitempty"` // tasks on one executor; zero: no limit
	Speculative   bool          `json:"speculative,omitempty"`  // stored, but not used in scheduling
	LongRunning   bool          `json:"longRunning,omitempty"`  // runs until the job is cancelled
	Image         string        `json:"image,omitempty"`
	// TargetLatency bounds the tail latency of a task that serves users; zero if it
	// serves none.
	TargetLatency time.Duration `json:"targetLatency,omitempty"`
	// BestEffort marks tasks whose CPU need is not counted; they get the CPU time that
	// other tasks leave unused.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be down at once
	// through the system's own actions.
	MaxUnavailable int `json:"mayMiss,omitempty"`
}

// Reservation returns the part of the executor's capacity that one task takes.
func (s Step) Reservation() Resources {
	need := s.Need
	if s.BestEffort {
		need.MilliCPU = 0
	}
	return need
}

// Schedule repeats the steps of a job. The zero Schedule runs them once, immediately.
type Schedule struct {
	Count    int           `json:"count,omitempty"`
	First    time.Time     `json:"first,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (s Schedule) Occurrences() int { return max(1, s.Count) }

// Due returns when occurrence k, counted from 0, may start; the zero time means
// immediately.
func (s Schedule) Due(k int) time.Time {
	if s.Count == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(k) * s.Interval)
}

// Definition is what a caller submits.
type Definition struct {
	Payload  string   `json:"payload"` // opaque, passed on to executors
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"`
}

// Limits of a definition.
const (
	MaxPayloadBytes = 4000
	MaxTasks        = 10000
	MaxOccurrences  = 10000
)

// Validate returns an error that describes the first fault.
func (d Definition) Validate() error {
	if len(d.Payload) > MaxPayloadBytes {
		return fmt.Errorf("payload of %d bytes: at most %d", len(d.Payload), MaxPayloadBytes)
	}
	if len(d.Steps) == 0 {
		return fmt.Errorf("no steps")
	}
	if d.Schedule.Count < 0 || d.Schedule.Count > MaxOccurrences {
		return fmt.Errorf("schedule with %d occurrences: want 0 to %d", d.Schedule.Count, MaxOccurrences)
	}
	tasks := 0
	for i, step := range d.Steps {
		if err := step.validate(i); err != nil {
			return fmt.Errorf("step %d: %w", i, err)
		}
		tasks += step.Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("%d tasks: at most %d", tasks, MaxTasks)
	}
	return nil
}

func (s Step) validate(index int) error {
	if s.Count < 1 || s.Count > MaxTasks {
		return fmt.Errorf("count %d: want 1 to %d", s.Count, MaxTasks)
	}
	if !(Resources{}).Fits(s.Need) {
		return fmt.Errorf("need %+v: want no negative amounts", s.Need)
	}
	if s.MaxPerServer < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("max-per-server %d, may-miss %d: want no negative numbers", s.MaxPerServer, s.MaxUnavailable)
	}
	for _, earlier := range s.After {
		if earlier < 0 || earlier >= index {
			return fmt.Errorf("waits for step %d: want an earlier step", earlier)
		}
	}
	return nil
}

// StepID identifies one occurrence of one step.
type StepID struct {
	Job        ID
	Occurrence int
	Step       int
}

// String returns JOB.OCCURRENCE.STEP.
func (s StepID) String() string {
	return string(s.Job) + "." + strconv.Itoa(s.Occurrence) + "." + strconv.Itoa(s.Step)
}

// TaskID identifies one task of one occurrence.
type TaskID struct {
	StepID
	Index int
}

// String returns JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string { return t.StepID.String() + "." + strconv.Itoa(t.Index) }

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 {
		return TaskID{}, fmt.Errorf("task %q: want four parts", s)
	}
	var numbers [3]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task %q: part %d: want a whole number of at least zero", s, i+2)
		}
		numbers[i] = n
	}
	id, err := ParseID(parts[0])
	if err != nil {
		return TaskID{}, fmt.Errorf("task %q: %w", s, err)
	}
	return TaskID{StepID{id, numbers[0], numbers[1]}, numbers[2]}, nil
}
