package owner

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/api/job"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// lastWriteTimeout bounds the read of a shard's last write marker at takeover. The listings
// have no overall bound, since their time grows with their length; each page has its own.
const lastWriteTimeout = 5 * time.Second

func (o *Owner) shardPrefix() string { return layout.ShardPrefix(o.Service) }

// storedShard is the state of a shard that earlier owners persisted.
type storedShard struct {
	marker    layout.WriteMarker
	lastWrite kv.Revision
	progress  storedProgress
	items     []kv.Item
	executors []kv.Item
	listed    listings
	config    *cluster.Config // if it limits tenants; nil otherwise, and then there are no ledgers
	ledgers   []kv.Item
}

// read reads all parts concurrently, since their latencies would add up on a slow store.
func (o *Owner) read(ctx context.Context) (storedShard, error) {
	var s storedShard
	if o.Config != nil {
		if c := o.Config(); limitsTenants(c) {
			s.config = c
		}
	}
	var errs [5]error
	var reads sync.WaitGroup
	reads.Go(func() { s.marker, s.lastWrite, errs[0] = o.readLastWrite(ctx) })
	reads.Go(func() { s.progress, errs[1] = o.readProgress(ctx) })
	reads.Go(func() { s.items, s.listed.jobs, errs[2] = follow.List(ctx, o.Store, o.shardPrefix()) })
	reads.Go(func() { s.executors, s.listed.executors, errs[3] = follow.List(ctx, o.Store, executorPrefix) })
	if s.config != nil {
		reads.Go(func() { s.ledgers, _, errs[4] = o.Store.All(ctx, layout.QuotaPrefix, kv.Linearizable) })
	}
	reads.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return storedShard{}, fmt.Errorf("read the shard of %s: %w", o.Service, err)
	}
	return s, nil
}

// load loads the state that earlier owners stored. The term must be held already, so that
// no earlier owner's write follows the reads.
func (o *Owner) load(ctx context.Context) error {
	s, err := o.read(ctx)
	if err != nil {
		return err
	}
	o.listed = s.listed
	o.writes.revision = s.lastWrite
	o.shard.RestoreUnreached(s.marker.Unreached, o.term.Began)
	o.loadExecutors(s.executors)
	o.unreadable = s.progress.unreadable
	o.applyJobs(follow.Listing(s.items), s.progress.byJob, time.Now())
	if s.config != nil {
		o.applyTenants(s.config)
		o.applyLedgers(follow.Listing(s.ledgers))
	}
	o.Logger.Info("shard taken over", "jobs", o.shard.Jobs(), "begun", len(s.progress.byJob), "executors", len(s.executors))
	return nil
}

// listings describes the listings that an owner reads at its takeover. It follows their changes without
// a second listing, which would take seconds again on a slow link if many jobs wait.
type listings struct{ executors, jobs follow.Snapshot }

func (o *Owner) loadExecutors(items []kv.Item) {
	o.executors = newExecutorList(o.Service, o.Logger)
	o.executors.apply(follow.Listing(items))
	o.shard.SetExecutors(o.executors.list(), time.Now())
}

// storedProgress is the progress of a service's jobs that an earlier owner stored.
type storedProgress struct {
	byJob map[job.ID]*shard.Progress
	// unreadable holds the jobs whose progress can't be decoded. What runs of them is not
	// known, so that nothing of them may be started.
	unreadable map[job.ID]bool
}

func (o *Owner) readProgress(ctx context.Context) (storedProgress, error) {
	items, _, err := o.Store.All(ctx, layout.ProgressPrefix(o.Service), kv.Linearizable)
	if err != nil {
		return storedProgress{}, fmt.Errorf("read progress of %s: %w", o.Service, err)
	}
	all := storedProgress{byJob: map[job.ID]*shard.Progress{}, unreadable: map[job.ID]bool{}}
	for _, item := range items {
		id, found := layout.ParseProgressKey(o.Service, item.Key)
		if !found {
			continue
		}
		p, err := layout.DecodeCompressed[shard.Progress](item.Key, item.Value)
		if err == nil {
			err = p.Check()
		}
		if err != nil {
			o.Logger.Error("job skipped: progress not readable", "job", string(id), "error", err)
			all.unreadable[id] = true
			continue
		}
		all.byJob[id] = &p
	}
	return all, nil
}

func (o *Owner) addRecord(id job.ID, item kv.Item, p *shard.Progress, now time.Time) {
	if o.shard.HasJob(id) || o.unreadable[id] {
		return // a listing repeats the records of tracked and of skipped jobs
	}
	r, err := readRecord(id, item)
	if err != nil {
		o.skippedRecords.Add(item.Key, err)
		return
	}
	o.skippedRecords.Used(item.Key)
	o.shard.AddJob(r, p, now)
}

// applyJobs applies new records, cancellations and cordons. Jobs that an earlier owner
// started continue from their progress. Removals other than of cordons are ignored, since
// this owner made them.
func (o *Owner) applyJobs(c follow.Change, progress map[job.ID]*shard.Progress, now time.Time) {
	if c.Reset {
		clear(o.cordons)
	}
	o.skippedRecords.Begin(c)
	defer o.skippedRecords.Log()
	var cancels []job.ID
	for _, event := range c.Events {
		kind, name := layout.ParseShardKey(o.Service, event.Key)
		switch {
		case kind == layout.ItemExhausted:
			o.applyExhausted(event, now)
		case kind == layout.ItemCordon:
			o.applyCordon(cluster.ExecutorID(name), event)
		case event.Removed:
		case kind == layout.ItemRecord:
			// A record written after the job became final is a new submission with its ID.
			if event.Revision > o.finished[job.ID(name)] {
				o.addRecord(job.ID(name), event.Item, progress[job.ID(name)], now)
			}
		case kind == layout.ItemCancel:
			cancels = append(cancels, job.ID(name))
		}
	}
	o.shard.SetCordons(o.cordons, now)
	for _, id := range cancels {
		o.cancel(id)
	}
}

func (o *Owner) applyCordon(id cluster.ExecutorID, event kv.Event) {
	if event.Removed {
		delete(o.cordons, id)
		return
	}
	cordon, err := layout.Decode[layout.Cordon](event.Key, event.Value)
	if err != nil {
		o.Logger.Error("cordon not readable; evacuating gracefully", "error", err)
	}
	evacuation := shard.EvacuateGracefully
	if cordon.Preempt {
		evacuation = shard.EvacuatePreempting
	}
	o.cordons[id] = shard.Cordon{ID: cordon.ID, Evacuation: evacuation}
}

// applyExhausted passes on what the fleet planner states. The clocks of the instances may differ.
func (o *Owner) applyExhausted(event kv.Event, now time.Time) {
	if event.Removed {
		o.shard.NoteFleetExhausted(time.Time{})
		return
	}
	exhausted, err := layout.Decode[layout.Exhausted](event.Key, event.Value)
	if err != nil {
		o.Logger.Error("statement of the fleet planner not readable", "error", err)
		return
	}
	if age := now.Sub(time.UnixMilli(exhausted.AtMs)); age.Abs() <= shard.MaxExhaustedAge {
		o.shard.NoteFleetExhausted(now.Add(-max(0, age)))
	}
}

func (o *Owner) cancel(id job.ID) {
	if o.shard.Cancel(id) {
		o.Logger.Info("job cancelled", "job", string(id))
		return
	}
	if _, final := o.finished[id]; final {
		o.staleCancels = append(o.staleCancels, id)
	}
}
