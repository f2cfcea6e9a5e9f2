// Package devjobs runs a small fleet in one process: a stand-in for the operators'
// platform, three entry instances, and a caller that submits jobs while the store is
// unavailable for a short time, an API key is removed and machines undergo maintenance.
package devjobs

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/fx"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/host"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/nodefile"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/platform/standin"
	"github.com/tarragonreach/tarragonreach/platform/submission"
)

const (
	instances      = 3
	runTime        = 300 * time.Millisecond
	callInterval   = 100 * time.Millisecond // between two submissions or two polls
	tasksPerJob    = 3
	outageDuration = 1500 * time.Millisecond
	// waveDuration is the time given to the maintenance of waveMachines machines.
	waveDuration = 10 * time.Second
	waveMachines = 3
	// completionTimeout limits the time that jobs may take after the last submission.
	completionTimeout = 20 * time.Second
	callTimeout       = 4 * time.Second
)

var pools = []standin.PoolSpec{
	{Service: "terreni", Machines: 4, Prefix: "/terreni/"},
	{Service: "irriguo", Machines: 4, Prefix: "/irriguo/"},
	{Service: "sportello", Machines: 4, Spare: true},
}

// The API keys of the two tenants. The former key is removed while jobs are submitted.
const (
	trapaniKey    = "dev-trapani-2"
	formerKey     = "dev-trapani-1"
	magnoliaKey   = "dev-magnolia-1"
	formerKeyUses = 6 // one in so many submissions has the former key
)

// Versions of the configuration: before and after the removal of the former key.
const (
	versionWithFormerKey    = 2
	versionWithoutFormerKey = 3
)

func tenants(version int64) []standin.TenantSpec {
	trapani := standin.TenantSpec{Name: "trapani", Keys: []string{trapaniKey}}
	if version < versionWithoutFormerKey {
		trapani.Keys = append(trapani.Keys, formerKey)
	}
	return []standin.TenantSpec{trapani, {Name: "magnolia", Keys: []string{magnoliaKey}}}
}

// Summary is the result of a run.
type Summary struct {
	Accepted  int `json:"accepted"`
	Refused   int `json:"refused"` // refused and not stored
	Unknown   int `json:"unknown"` // no response said whether the job was stored
	Completed int `json:"completed"`
	Tasks     int `json:"tasks"`
	// Restarted counts tasks that were started more than once. Overlaps counts starts of a
	// task while another run of the task was present.
	Restarted       int               `json:"runAgain"`
	Overlaps        int               `json:"overlaps"`
	Wave            cluster.WaveState `json:"wave"`
	MachineCommands int               `json:"machineOrders"`
	// FormerKeyRefused counts submissions with the removed API key that got 401, and
	// FormerKeyAccepted those that were accepted though they were sent later than a configuration
	// may take to be in force. ValidKeyRefused counts submissions with valid keys that got 401.
	FormerKeyRefused  int `json:"formerKeyRefused"`
	FormerKeyAccepted int `json:"formerKeyAccepted"`
	ValidKeyRefused   int `json:"validKeyRefused"`
}

// GuaranteesHeld reports whether at least one job was accepted, all accepted jobs
// completed, no runs of a task overlapped, the wave completed, and API keys were
// accepted as configured.
func (s Summary) GuaranteesHeld() bool {
	return s.FormerKeyAccepted == 0 && s.ValidKeyRefused == 0 &&
		s.Accepted > 0 && s.Completed >= s.Accepted && s.Overlaps == 0 && s.Wave == cluster.WaveCompleted
}

// fleet is the running development fleet with its caller.
type fleet struct {
	standin *standin.Fleet
	fronts  []string
	client  *http.Client
	summary Summary
	jobs    []acceptedJob
	// configApply is the time within which a configuration must be in force.
	configApply time.Duration
	// formerKeyRemoved is when the removal of the former key was acknowledged, in nanoseconds of
	// Unix time; zero before.
	formerKeyRemoved atomic.Int64
	removalBegan     atomic.Bool
}

// acceptedJob is a job with a present key of its tenant.
type acceptedJob struct{ path, key string }

// Run starts the fleet, submits jobs for the given duration and returns the summary.
func Run(ctx context.Context, duration time.Duration, logger *slog.Logger) (Summary, error) {
	platform, err := standin.NewFleet(pools, runTime)
	if err != nil {
		return Summary{}, err
	}
	defer platform.Close()
	if err := platform.ConfigureTenants(pools, tenants(versionWithFormerKey), versionWithFormerKey); err != nil {
		return Summary{}, err
	}
	f := &fleet{standin: platform, client: &http.Client{Timeout: callTimeout}}
	stop, err := f.startInstances(ctx, logger)
	defer stop()
	if err != nil {
		return Summary{}, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return Summary{}, err
	}
	if err := f.runLoad(ctx, duration); err != nil {
		return Summary{}, err
	}
	f.awaitCompletion(ctx)
	return f.collectSummary(), nil
}

// startInstances starts the entry instances; the returned function stops them.
func (f *fleet) startInstances(ctx context.Context, logger *slog.Logger) (stop func(), err error) {
	var apps []*fx.App
	stop = func() {
		for _, app := range apps {
			ctx, cancel := context.WithTimeout(context.Background(), completionTimeout)
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
		readiness, err := freeAddress(ctx)
		if err != nil {
			return stop, err
		}
		name := fmt.Sprintf("entry-%d", i)
		node, err := nodefile.Parse(f.standin.NodeFile(name, "palermo", front, readiness))
		if err != nil {
			return stop, err
		}
		f.configApply = node.ConfigApply
		app := host.New(node, host.Options{RejectLate: true}, logger.With("instance", name))
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
	defer func() { _ = listener.Close() }() // only the port number is needed
	return listener.Addr().String(), nil
}

// awaitReady waits until the first instance has the queues of the configuration.
func (f *fleet) awaitReady(ctx context.Context) error {
	for {
		if status, _ := f.call(ctx, http.MethodGet, f.fronts[0], "/terreni/", trapaniKey, ""); status == http.StatusOK {
			return nil
		}
		if err := backoff.Sleep(ctx, callInterval); err != nil {
			return fmt.Errorf("instances not ready: %w", err)
		}
	}
}

func (f *fleet) call(ctx context.Context, method, front, path, key, body string) (int, string) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = standin.Host
	request.Header.Set(submission.HeaderAuthorization, submission.AuthorizationScheme+" "+key)
	response, err := f.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }() // the body is read below or not needed
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(text)
}

// runLoad submits jobs, with the removal of an API key after a quarter of the duration, a
// store outage after a third and a wave after half of it. Timers start them, so that a
// pending submission does not delay them.
func (f *fleet) runLoad(ctx context.Context, duration time.Duration) error {
	started := time.Now()
	waveResult := make(chan error, 1)
	removal := make(chan error, 1)
	time.AfterFunc(duration/4, func() { removal <- f.removeFormerKey() })
	outage := time.AfterFunc(duration/3, func() { f.standin.Store.SetDown(true) })
	defer outage.Stop()
	recovery := time.AfterFunc(duration/3+outageDuration, func() { f.standin.Store.SetDown(false) })
	defer recovery.Stop()
	time.AfterFunc(duration/2, func() { waveResult <- f.createWave() })
	for i := 0; time.Since(started) < duration; i++ {
		f.submit(ctx, i)
		if err := backoff.Sleep(ctx, callInterval); err != nil {
			return err
		}
	}
	outage.Stop()
	f.standin.Store.SetDown(false)
	return errors.Join(<-removal, <-waveResult)
}

func (f *fleet) removeFormerKey() error {
	f.removalBegan.Store(true)
	err := f.standin.ConfigureTenants(pools, tenants(versionWithoutFormerKey), versionWithoutFormerKey)
	f.formerKeyRemoved.Store(time.Now().UnixNano())
	return err
}

func (f *fleet) createWave() error {
	var machines []cluster.MachineID
	for i := range waveMachines {
		machines = append(machines, cluster.MachineID(fmt.Sprintf("m-terreni-%d", i)))
	}
	return f.standin.CreateWave(1, machines, waveDuration, 1)
}

// submit submits a job of one of the tenants.
func (f *fleet) submit(ctx context.Context, i int) {
	path := fmt.Sprintf("%s%016x", pools[i%2].Prefix, i)
	body := standin.SubmissionBody(tasksPerJob, job.Resources{MilliCPU: 1000, MemoryMB: 256}, runTime, false)
	readKey := []string{trapaniKey, magnoliaKey}[i%2]
	key := readKey
	former := i%formerKeyUses == 0 // its tenant is trapani, since formerKeyUses is even
	if former {
		key = formerKey
	}
	removed := f.formerKeyRemoved.Load()
	overdue := removed != 0 && time.Since(time.Unix(0, removed)) > f.configApply
	status, _ := f.call(ctx, http.MethodPost, f.fronts[i%len(f.fronts)], path, key, body)
	switch status {
	case http.StatusOK:
		f.summary.Accepted++
		f.jobs = append(f.jobs, acceptedJob{path, readKey})
		if former && overdue {
			f.summary.FormerKeyAccepted++
		}
	case http.StatusUnauthorized:
		if former && f.removalBegan.Load() {
			f.summary.FormerKeyRefused++
		} else {
			f.summary.ValidKeyRefused++
		}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.summary.Refused++
	default:
		f.summary.Unknown++
	}
}

// awaitCompletion waits until all accepted jobs and the wave are completed, at most
// completionTimeout.
func (f *fleet) awaitCompletion(ctx context.Context) {
	incomplete := f.jobs
	for deadline := time.Now().Add(completionTimeout); time.Now().Before(deadline); {
		var remaining []acceptedJob
		for _, accepted := range incomplete {
			if f.jobState(ctx, accepted) != job.Completed {
				remaining = append(remaining, accepted)
			}
		}
		incomplete = remaining
		f.summary.Completed = len(f.jobs) - len(incomplete)
		if len(incomplete) == 0 && f.waveState() == cluster.WaveCompleted {
			return
		}
		if backoff.Sleep(ctx, callInterval) != nil {
			return
		}
	}
}

func (f *fleet) jobState(ctx context.Context, accepted acceptedJob) job.State {
	status, text := f.call(ctx, http.MethodGet, f.fronts[0], accepted.path, accepted.key, "")
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

func (f *fleet) collectSummary() Summary {
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
