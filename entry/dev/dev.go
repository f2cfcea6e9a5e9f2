// Package dev runs a small fleet in one process, for trying the product: a stand-in
// of the platform, stand-in backend servers and entry instances in two availability
// zones, all on loopback with real sockets.
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

// anyLoopbackPort lets the system choose a free port.
const anyLoopbackPort = "127.0.0.1:0"

// DefaultDuration is how long the mixed load lasts where none is given.
const DefaultDuration = 10 * time.Second

// ErrGuaranteeBroken says that a guarantee was broken during the run.
var ErrGuaranteeBroken = errors.New("a guarantee was broken")

// Options say how the development mode runs.
type Options struct {
	// Duration is how long the mixed load lasts.
	Duration time.Duration
	// Stay keeps the fleet up after the load, until the context ends.
	Stay bool
	// JSON prints one summary as JSON instead of tables.
	JSON bool
	Out  io.Writer
	// LogOutput takes the logs of the entry instances.
	LogOutput io.Writer
	// LogLevel is debug, info, warn or error.
	LogLevel string
}

// zones are the availability zones of the development fleet.
var zones = []fleet.AvailabilityZone{"palermo", "catania"}

// Run starts the fleet, sends the load with one configuration change and one drain
// in its course, and prints what came of it. It returns ErrBroken where a request
// was neither answered nor honestly refused, or ran twice against its class.
func Run(ctx context.Context, o Options) error {
	f, err := startFleet(ctx, o)
	defer f.close()
	if err != nil {
		return err
	}
	summary, err := f.exercise(ctx, o)
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

// Shares of the duration after which the scenario acts.
const (
	changeShare = 0.25
	drainShare  = 0.5
)

// exercise runs the load and the scenario beside it.
func (f *devFleet) exercise(ctx context.Context, o Options) (Summary, error) {
	l := load.New(load.Options{
		Streams: streams(), CallerAddresses: f.callerAddresses, RunCounter: f.backends,
		Random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	loadCtx, stop := context.WithTimeout(ctx, o.Duration)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(loadCtx)
	}()
	if !o.JSON {
		go showProgress(loadCtx, o.Out, l)
	}
	s := Summary{}
	var err error
	if s.Rollout, err = f.changeConfig(ctx, after(o, changeShare)); err != nil {
		return s, fmt.Errorf("configuration change: %w", err)
	}
	if s.Drain, err = f.drainOne(ctx, loadCtx, after(o, drainShare)); err != nil {
		return s, fmt.Errorf("drain: %w", err)
	}
	<-done
	s.Classes = l.Summaries()
	s.Tasks = f.workers.summary()
	s.judge()
	return s, ctx.Err()
}

func after(o Options, share float64) time.Time {
	return time.Now().Add(time.Duration(share * float64(o.Duration)))
}
