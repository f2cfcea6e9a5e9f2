package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
	"github.com/tarragonreach/tarragonreach/entry/node"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const (
	// pollInterval is the time between two checks of the fleet's state.
	pollInterval = 20 * time.Millisecond
	// awaitTimeout limits each wait for a state of the fleet.
	awaitTimeout = 20 * time.Second
	// storeOutage is the minimum time that the store is off after the change was
	// accepted.
	storeOutage = 1 * time.Second
	// drainDeadline is how long after the drain the executor may still get new work.
	drainDeadline = 3 * time.Second
)

func stopEntries(ctx context.Context, entries []*node.Node) {
	var stopping sync.WaitGroup
	for _, e := range entries {
		stopping.Go(func() { _ = e.Stop(ctx) })
	}
	stopping.Wait()
}

// applyFirstConfig applies the initial configuration and waits until every entry
// instance is ready, routes to all executors and reaches all peers.
func (f *devFleet) applyFirstConfig(ctx context.Context) error {
	body, err := json.Marshal(firstConfig())
	if err != nil {
		return fmt.Errorf("encode the first configuration: %w", err)
	}
	var result operations.ApplyResult
	if err := f.post(ctx, f.entries[0], operations.PathConfigChanges, body, &result); err != nil {
		return fmt.Errorf("apply the first configuration: %w", err)
	}
	return f.await(ctx, awaitTimeout, "every entry instance to be ready with all executors", func() bool {
		return f.allEntries(func(s operations.Status) bool {
			return s.Ready && s.ConfigRevision >= result.Revision && s.Executors == len(f.backends.executors) &&
				reachable(s) == len(f.entries)-1
		})
	})
}

func reachable(s operations.Status) int {
	n := 0
	for _, m := range s.Members {
		if m.Reachable {
			n++
		}
	}
	return n
}

// changeConfig changes a class, switches the store off right after acceptance, and
// measures how long the change takes to be in force on every entry instance.
func (f *devFleet) changeConfig(ctx context.Context, at time.Time) (Rollout, error) {
	if err := sleepUntil(ctx, at); err != nil {
		return Rollout{}, err
	}
	class := firstConfig().Classes[0]
	class.Timeout = object.Duration(checkTimeout + time.Second)
	body, err := json.Marshal(operations.ConfigDocument{
		Reason: "longer timeout for checks", Document: object.Document{Classes: []object.Class{class}},
	})
	if err != nil {
		return Rollout{}, fmt.Errorf("encode the change: %w", err)
	}
	var result operations.ApplyResult
	sent := time.Now()
	if err := f.post(ctx, f.entries[0], operations.PathConfigChanges, body, &result); err != nil {
		return Rollout{}, err
	}
	accepted := time.Now()
	f.platform.SetFaults(memory.Faults{Down: true})
	defer f.platform.SetFaults(memory.Faults{})
	err = f.await(ctx, awaitTimeout, "the change to be in force everywhere", func() bool {
		return f.allEntries(func(s operations.Status) bool { return s.ConfigRevision >= result.Revision })
	})
	took := time.Since(sent)
	if err == nil {
		err = sleepUntil(ctx, accepted.Add(storeOutage))
	}
	return Rollout{Revision: result.Revision, InForceEverywhere: object.Duration(took), StoreOffAfterAcceptance: true}, err
}

// drainExecutor drains the first executor and counts the requests that it runs between
// drainDeadline and the end of the load; none if the load ends before drainDeadline.
func (f *devFleet) drainExecutor(ctx, loadCtx context.Context, at time.Time) (Drain, error) {
	if err := sleepUntil(ctx, at); err != nil {
		return Drain{}, err
	}
	target := f.backends.executors[0]
	path := operations.PathInstances + "/" + string(target.instance.ID) + "/drain"
	var updated operations.InstanceStatus
	if err := f.post(ctx, f.entries[len(f.entries)-1], path, []byte(`{"reason": "development run"}`), &updated); err != nil {
		return Drain{}, err
	}
	drainedAt := time.Now()
	d := Drain{Instance: target.instance.ID}
	err := f.await(ctx, awaitTimeout, "the instance to leave routing", func() bool {
		return f.allEntries(func(s operations.Status) bool { return s.Executors == len(f.backends.executors)-1 })
	})
	if err != nil {
		return d, err
	}
	d.OutOfRouting = object.Duration(time.Since(drainedAt))
	if err := sleepUntil(loadCtx, drainedAt.Add(drainDeadline)); err != nil {
		return d, ctx.Err()
	}
	runsBefore := target.server.TotalRuns()
	<-loadCtx.Done()
	d.RunsAfter = target.server.TotalRuns() - runsBefore
	return d, nil
}

func (f *devFleet) allEntries(condition func(operations.Status) bool) bool {
	for _, e := range f.entries {
		if !condition(e.Status()) {
			return false
		}
	}
	return true
}

// await waits until condition holds; after limit it returns an error that names what
// it waited for.
func (f *devFleet) await(ctx context.Context, limit time.Duration, what string, condition func() bool) error {
	deadline := time.Now().Add(limit)
	for !condition() {
		if time.Now().After(deadline) {
			return fmt.Errorf("timed out after %s waiting for %s", limit, what)
		}
		if err := sleepUntil(ctx, time.Now().Add(pollInterval)); err != nil {
			return fmt.Errorf("wait for %s: %w", what, err)
		}
	}
	return nil
}

func sleepUntil(ctx context.Context, at time.Time) error {
	return backoff.Sleep(ctx, time.Until(at))
}

// post sends body to the operator listener of an entry instance and decodes the
// response into out.
func (f *devFleet) post(ctx context.Context, entry *node.Node, path string, body []byte, out any) error {
	url := "http://" + entry.OperatorAddr() + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: status %d: %s", path, res.StatusCode, data)
	}
	return json.Unmarshal(data, out)
}

// Drain is the result of draining one instance.
type Drain struct {
	Instance fleet.InstanceID `json:"instance"`
	// OutOfRouting is the time from the drain until no entry instance routes to the
	// instance.
	OutOfRouting object.Duration `json:"outOfRouting"`
	// RunsAfter counts requests that the instance ran later than 3 s after the drain.
	RunsAfter int `json:"runsAfter"`
}

// Rollout is the result of one configuration change.
type Rollout struct {
	Revision object.Revision `json:"revision"`
	// InForceEverywhere is the time from sending the change until it is in force
	// on every entry instance.
	InForceEverywhere       object.Duration `json:"inForceEverywhere"`
	StoreOffAfterAcceptance bool            `json:"storeOffAfterAcceptance"`
}
