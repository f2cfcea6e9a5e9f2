// Package dev runs a small trial fleet in one process: a stand-in for the platform,
// stand-in backend servers and entry instances in two availability zones, all on
// loopback with real sockets.
package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/dev/load"
)

// anyLoopbackPort makes the operating system choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

// DefaultDuration is the duration of the mixed load if none is given.
const DefaultDuration = 10 * time.Second

// ErrGuaranteeBroken is returned by Run if a guarantee was broken during the run.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

// Options configures the development mode.
type Options struct {
	// Duration of the mixed load.
	Duration time.Duration
	// Stay keeps the fleet running after the load until the context ends.
	Stay bool
	// JSON prints the summary as one JSON document instead of tables and suppresses
	// progress lines.
	JSON bool
	Out  io.Writer
	// LogOutput receives the logs of the entry instances.
	LogOutput io.Writer
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// zones are the availability zones of the development fleet.
var zones = []fleet.AvailabilityZone{"palermo", "catania"}

// Run starts the fleet, generates the load, makes one configuration change and one
// drain during the load, and prints a summary. It returns ErrGuaranteeBroken if a
// request got no response, a wrong verdict or another request's response body, if one
// ran twice though its class forbids it, or if another check of the summary failed.
func Run(ctx context.Context, o Options) error {
	f, err := startFleet(ctx, o)
	defer f.close()
	if err != nil {
		return err
	}
	summary, err := f.runScenario(ctx, o)
	if err != nil {
		return err
	}
	if err := printSummary(o, f, summary); err != nil {
		return err
	}
	if o.Stay {
		<-ctx.Done()
	}
	if !summary.OK {
		return ErrGuaranteeBroken
	}
	return nil
}

// Delays of the scenario as shares of the load's duration: from the start of the load to
// the configuration change, and from the end of the change to the drain.
const (
	changeDelayShare = 0.25
	drainDelayShare  = 0.5
)

// runScenario runs the load and, during it, the configuration change and the drain.
func (f *devFleet) runScenario(ctx context.Context, o Options) (Summary, error) {
	generator := load.New(load.Options{
		Streams: loadStreams(), CallerAddresses: f.callerAddresses, RunCounter: f.backends,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	loadCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		generator.Run(loadCtx)
	}()
	if !o.JSON {
		go showProgress(loadCtx, o.Out, generator)
	}
	s := Summary{}
	var err error
	if s.Rollout, err = f.changeConfig(ctx, timeAtShare(o, changeDelayShare)); err != nil {
		return s, fmt.Errorf("configuration change: %w", err)
	}
	if s.Drain, err = f.drainExecutor(ctx, loadCtx, timeAtShare(o, drainDelayShare)); err != nil {
		return s, fmt.Errorf("drain: %w", err)
	}
	<-done
	s.Classes = generator.Summaries()
	s.Tasks = f.workers.summary()
	s.evaluate()
	return s, ctx.Err()
}

// timeAtShare returns the time at which share of the load's duration, counted from
// now, has passed.
func timeAtShare(o Options, share float64) time.Time {
	return time.Now().Add(time.Duration(share * float64(o.Duration)))
}
