package main

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const (
	tenants       = 210
	objectsToday  = 60   // services, pools, classes, tenants and jobs of one organisation
	objectsTarget = 3300 // 28 pools, 210 tenants, 28 services and 3,000 jobs
	editBatch     = 500
)

// configMeasurement measures the memory of a follower with a configuration, the time to
// merge one change from a peer, and the size of that change.
func configMeasurement() measurement {
	series := func(name, unit string) Series {
		return Series{Name: name, Role: "configuration follower", Unit: unit, Per: "objects", Today: objectsToday, Target: objectsTarget}
	}
	return measurement{
		sizes:   []int{100, 400, 1600, 3300, 6600},
		series:  []Series{series("config-memory", "KiB"), series("config-merge", "µs/change"), series("config-change", "B/change")},
		measure: measureConfig,
	}
}

func measureConfig(size int) ([]float64, error) {
	store := memory.New(time.Now)
	source := config.NewFollower(store, config.Options{})
	log := config.NewLog(store, source, config.LogOptions{})
	accept := func(id string, d object.Document) error {
		change := config.WithBase(object.Change{ID: id, Put: d}, source.Current())
		_, err := log.Accept(context.Background(), change)
		return err
	}
	if err := fillConfig(size, accept); err != nil {
		return nil, err
	}
	before := heapBytes()
	follower := config.NewFollower(store, config.Options{})
	if err := copyConfig(source, follower); err != nil {
		return nil, err
	}
	heapGrowth := heapBytes() - before
	for round := range timedRuns {
		edit := object.Document{Tenants: []object.Tenant{tenantAt(0, round+1)}}
		if err := accept(fmt.Sprint("edit-", round), edit); err != nil {
			return nil, err
		}
	}
	merge, bytes, err := mergeRemaining(source, follower)
	runtime.KeepAlive(follower)
	return []float64{heapGrowth / kib, merge, bytes}, err
}

// mergeRemaining merges, one at a time, the changes that follower lacks. It returns the
// shortest time of a merge in microseconds and the size of the last change in bytes.
func mergeRemaining(source, follower *config.Follower) (merge, size float64, err error) {
	best := time.Duration(1<<63 - 1)
	for follower.Current().Revision < source.Current().Revision {
		documents := source.Read(config.Stream, int64(follower.Current().Revision), 1)
		if len(documents) == 0 {
			return 0, 0, errors.New("a revision is missing")
		}
		size = float64(len(documents[0].Body))
		start := time.Now()
		if err := follower.Merge(context.Background(), documents[:1]); err != nil {
			return 0, 0, err
		}
		best = min(best, time.Since(start))
	}
	return float64(best) / float64(time.Microsecond), size, nil
}

func copyConfig(from, to *config.Follower) error {
	for to.Current().Revision < from.Current().Revision {
		documents := from.Read(config.Stream, int64(to.Current().Revision), 1<<30)
		if err := to.Merge(context.Background(), documents); err != nil {
			return err
		}
	}
	return nil
}

// fillConfig passes a configuration of about size objects, most of them jobs, to accept.
func fillConfig(size int, accept func(string, object.Document) error) error {
	base := object.Document{Classes: []object.Class{{Name: "batch", Timeout: object.Duration(time.Hour)}}}
	for i := range min(size/4, tenants) {
		base.Tenants = append(base.Tenants, tenantAt(i, 0))
	}
	for i := range min(size/8, pools) {
		base.Pools = append(base.Pools, object.Pool{Name: fmt.Sprintf("pool-%02d", i), Selector: fmt.Sprintf("pool=pool-%02d", i), Min: 1, Max: 200})
	}
	if err := accept("base", base); err != nil {
		return err
	}
	jobCount := size - len(base.Tenants) - len(base.Pools) - len(base.Classes)
	for first := 0; first < jobCount; first += editBatch {
		var d object.Document
		for i := first; i < min(first+editBatch, jobCount); i++ {
			d.Jobs = append(d.Jobs, jobAt(i, len(base.Tenants)))
		}
		if err := accept(fmt.Sprint("jobs-", first), d); err != nil {
			return err
		}
	}
	return nil
}

func tenantAt(i, round int) object.Tenant {
	return object.Tenant{Name: fmt.Sprintf("team-%03d", i), Weight: 1 + round, Quota: fleet.Resources{MilliCPU: 64_000, MemoryMiB: 1 << 20}}
}

func jobAt(i, tenantCount int) object.Job {
	return object.Job{
		Name:     fmt.Sprintf("job-%05d", i),
		Tenant:   fmt.Sprintf("team-%03d", i%tenantCount),
		Class:    "batch",
		Selector: "kind=worker",
		Declared: fleet.Resources{MilliCPU: 4000, MemoryMiB: 8192},
		Tasks:    1 + i%40,
		RunTime:  object.Duration(time.Hour),
	}
}
