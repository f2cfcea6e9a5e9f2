// Package devjobs runs a small fleet in one process: a stand-in of the operators'
// platform, three instances, and callers that hand jobs in while the store goes away
// for a moment and machines undergo maintenance.
package devjobs

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/fx"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/host"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
)

const (
	instances  = 3
	runTime    = 300 * time.Millisecond
	submitGap  = 100 * time.Millisecond
	tasksEach  = 3
	outageTime = 1500 * time.Millisecond
	// waveTime is given to the maintenance of waveMachines machines.
	waveTime     = 10 * time.Second
	waveMachines = 3
	// settleTime is how long jobs may take after the last was handed in.
	settleTime  = 20 * time.Second
	callTimeout = 4 * time.Second
)

var pools = []standin.PoolSpec{
	{Service: "terreni", Machines: 4, Prefix: "/terreni/"},
	{Service: "irriguo", Machines: 4, Prefix: "/irriguo/"},
	{Service: "sportello", Machines: 4, Spare: true},
}

// Summary is what came of a run.
type Summary struct {
	Accepted  int `json:"accepted"`
	Refused   int `json:"refused"` // truly not stored
	Unknown   int `json:"unknown"` // no answer said whether they were stored
	Completed int `json:"completed"`
	Tasks     int `json:"tasks"`
	// Restarted counts tasks that were started more than once, Overlaps those of which
	// two runs were present at once.
	Restarted       int               `json:"runAgain"`
	Overlaps        int               `json:"overlaps"`
	Wave            cluster.WaveState `json:"wave"`
	MachineCommands int               `json:"machineOrders"`
}

// GuaranteesHeld reports whether everything that must hold has held.
func (s Summary) GuaranteesHeld() bool {
	return s.Accepted > 0 && s.Completed >= s.Accepted && s.Overlaps == 0 && s.Wave == cluster.WaveCompleted
}

// fleet is the running whole.
type fleet struct {
	standin *standin.Fleet
	fronts  []string
	client  *http.Client
	summary Summary
	jobs    []string // paths of accepted jobs
}

// Run runs the fleet for a time and returns what came of it.
func Run(ctx context.Context, duration time.Duration, logger *slog.Logger) (Summary, error) {
	platform, err := standin.NewFleet(pools, runTime)
	if err != nil {
		return Summary{}, err
	}
	defer platform.Close()
	f := &fleet{standin: platform, client: &http.Client{Timeout: callTimeout}}
	stop, err := f.start(ctx, logger)
	defer stop()
	if err != nil {
		return Summary{}, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return Summary{}, err
	}
	if err := f.load(ctx, duration); err != nil {
		return Summary{}, err
	}
	f.settle(ctx)
	return f.finish(), nil
}

// start starts the instances; the function returned stops them.
func (f *fleet) start(ctx context.Context, logger *slog.Logger) (stop func(), err error) {
	var apps []*fx.App
	stop = func() {
		for _, app := range apps {
			ctx, cancel := context.WithTimeout(context.Background(), settleTime)
			if err := app.Stop(ctx); err != nil {
				logger.Warn("instance not stopped", "error", err)
			}
			cancel()
		}
	}
	for i := range instances {
		front, err := freeAddress(ctx)
		if err != nil {
			return stop, err
		}
		ready, err := freeAddress(ctx)
		if err != nil {
			return stop, err
		}
		name := fmt.Sprintf("entry-%d", i)
		node, err := nodefile.Parse(f.standin.NodeFile(name, "palermo", front, ready))
		if err != nil {
			return stop, err
		}
		app := host.New(node, logger.With("instance", name))
		if err := app.Start(ctx); err != nil {
			return stop, fmt.Errorf("start %s: %w", name, err)
		}
		apps = append(apps, app)
		f.fronts = append(f.fronts, front)
	}
	return stop, nil
}

func freeAddress(ctx context.Context) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("no free loopback port: %w", err)
	}
	defer func() { _ = listener.Close() }() // only its number is wanted
	return listener.Addr().String(), nil
}

// awaitReady waits until an instance knows the queues.
func (f *fleet) awaitReady(ctx context.Context) error {
	for {
		if status, _ := f.ask(ctx, http.MethodGet, f.fronts[0], "/terreni/", ""); status == http.StatusOK {
			return nil
		}
		if err := backoff.Sleep(ctx, submitGap); err != nil {
			return fmt.Errorf("instances not ready: %w", err)
		}
	}
}

func (f *fleet) ask(ctx context.Context, method, front, path, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = standin.Host
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // read below, or of no use
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// load hands jobs in, with an outage at a third of the time and a wave at half. Both
// come at their time also while a caller waits for its answer.
func (f *fleet) load(ctx context.Context, duration time.Duration) error {
	begun := time.Now()
	waved := make(chan error, 1)
	outage := time.AfterFunc(duration/3, func() { f.standin.Store.SetDown(true) })
	defer outage.Stop()
	back := time.AfterFunc(duration/3+outageTime, func() { f.standin.Store.SetDown(false) })
	defer back.Stop()
	time.AfterFunc(duration/2, func() { waved <- f.beginWave() })
	for i := 0; time.Since(begun) < duration; i++ {
		f.submit(ctx, i)
		if err := backoff.Sleep(ctx, submitGap); err != nil {
			return err
		}
	}
	outage.Stop()
	f.standin.Store.SetDown(false)
	return <-waved
}

func (f *fleet) beginWave() error {
	var machines []cluster.MachineID
	for i := range waveMachines {
		machines = append(machines, cluster.MachineID(fmt.Sprintf("m-terreni-%d", i)))
	}
	return f.standin.CreateWave(1, machines, waveTime, 1)
}

func (f *fleet) submit(ctx context.Context, i int) {
	path := fmt.Sprintf("%s%016x", pools[i%2].Prefix, i)
	body := standin.SubmissionBody(tasksEach, job.Resources{MilliCPU: 1000, MemoryMB: 256}, runTime, false)
	status, _ := f.ask(ctx, http.MethodPost, f.fronts[i%len(f.fronts)], path, body)
	switch status {
	case http.StatusOK:
		f.summary.Accepted++
		f.jobs = append(f.jobs, path)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.summary.Refused++
	default:
		f.summary.Unknown++
	}
}

// settle waits until all accepted jobs are completed and the wave is over.
func (f *fleet) settle(ctx context.Context) {
	open := f.jobs
	for end := time.Now().Add(settleTime); time.Now().Before(end); {
		var left []string
		for _, path := range open {
			if f.state(ctx, path) != job.Completed {
				left = append(left, path)
			}
		}
		open = left
		f.summary.Completed = len(f.jobs) - len(open)
		if len(open) == 0 && f.waveState() == cluster.WaveCompleted {
			return
		}
		if backoff.Sleep(ctx, submitGap) != nil {
			return
		}
	}
}

func (f *fleet) state(ctx context.Context, path string) job.State {
	status, text := f.ask(ctx, http.MethodGet, f.fronts[0], path, "")
	if status != http.StatusOK {
		return ""
	}
	var body struct {
		State job.State `json:"state"`
	}
	if err := json.Unmarshal([]byte(text), &body); err != nil {
		return ""
	}
	return body.State
}

func (f *fleet) waveState() cluster.WaveState {
	item, found := f.standin.Store.Get(registry.WaveStatusKey(1))
	if !found {
		return ""
	}
	state, err := registry.WaveStatus(item.Value)
	if err != nil {
		return ""
	}
	return state
}

func (f *fleet) finish() Summary {
	for _, starts := range f.standin.Starts() {
		f.summary.Tasks++
		if starts > 1 {
			f.summary.Restarted++
		}
	}
	f.summary.Overlaps = f.standin.Overlaps()
	f.summary.Wave = f.waveState()
	f.summary.MachineCommands = len(f.standin.Machines.Actions())
	return f.summary
}
