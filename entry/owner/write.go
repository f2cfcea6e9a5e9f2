package owner

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// sequenceEntries is how many entries each write needs besides its batch: the conditions
	// on the term and on the last write, and the new write marker.
	sequenceEntries = 3
	// emptyBatchPauseFactor is the pause after an empty batch, as a multiple of its planning
	// time.
	emptyBatchPauseFactor = 8
	// maxEmptyBatchPause bounds that pause, since tasks may also become due by time alone.
	maxEmptyBatchPause = 100 * time.Millisecond
	// maxStaleCancels bounds how many cancellations of finished jobs one write removes.
	maxStaleCancels = 4
)

// writeRetry spaces attempts of the same write.
var writeRetry = backoff.Policy{Base: 20 * time.Millisecond, Cap: 300 * time.Millisecond}

// writeSequence puts the writes of a shard in one order. Each write replaces the write
// marker under the condition that it still has the revision of the previous write. An
// attempt that takes effect late, after its caller timed out, thus can't overwrite a later
// write.
type writeSequence struct {
	revision kv.Revision
	nonce    string // of the write in progress
}

// readLastWrite returns the marker of the last write and its revision, or zero values before
// the first write.
func (o *Owner) readLastWrite(ctx context.Context) (layout.WriteMarker, kv.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, lastWriteTimeout)
	defer cancel()
	item, err := o.Store.Get(ctx, layout.LastWriteKey(o.Service))
	if errors.Is(err, kv.ErrNotFound) {
		return layout.WriteMarker{}, 0, nil
	}
	if err != nil {
		return layout.WriteMarker{}, 0, err
	}
	marker, err := layout.Decode[layout.WriteMarker](item.Key, item.Value)
	if err != nil {
		// Without the list of unreached executors their leases count from this takeover.
		o.Logger.Error("write marker not readable", "error", err)
	}
	return marker, item.Revision, nil
}

// storeNextBatch starts the write of the next batch, if there is one and none is in
// progress.
func (o *Owner) storeNextBatch(now time.Time) {
	if o.writing || now.Before(o.nextBatch) || !o.shard.Pending(now) {
		return
	}
	stale := o.staleCancels[:min(len(o.staleCancels), maxStaleCancels)]
	start := time.Now()
	batch := o.shard.Batch(now, kv.MaxTxnEntries-sequenceEntries-len(stale))
	took := time.Since(start)
	o.nextBatch = now.Add(took + pauseAfter(batch, took))
	if batch == nil {
		return
	}
	txn, err := o.encode(batch)
	for _, id := range stale {
		txn.Deletes = append(txn.Deletes, layout.CancelKey(o.Service, id))
	}
	o.staleCancels = o.staleCancels[len(stale):]
	if err != nil {
		o.Logger.Error("batch can't be stored; stepping down", "error", err)
		o.stepDown()
		return
	}
	o.writing = true
	go o.write(txn, batch)
}

// pauseAfter returns how long to wait after a batch that took the given time to plan. After
// an empty batch the pause is longer: planning goes through all jobs, and handling the
// responses that free capacity needs time, too. A full batch left something out, so that the
// next one follows at once.
func pauseAfter(batch *shard.Batch, took time.Duration) time.Duration {
	switch {
	case batch == nil:
		return min(maxEmptyBatchPause, emptyBatchPauseFactor*took)
	case batch.Full:
		return 0
	default:
		return batchInterval
	}
}

func (o *Owner) encode(b *shard.Batch) (kv.Txn, error) {
	o.writes.nonce = fmt.Sprintf("%016x", rand.Uint64())
	marker, err := layout.Encode(layout.WriteMarker{Nonce: o.writes.nonce, Unreached: b.Unreached})
	if err != nil {
		return kv.Txn{}, err
	}
	key := layout.LastWriteKey(o.Service)
	txn := kv.Txn{
		Conditions: []kv.Condition{o.term.Condition(), {Key: key, Revision: o.writes.revision}},
		Puts:       []kv.Put{{Key: key, Value: marker}},
	}
	if b.Waiting != nil {
		value, err := layout.Encode(layout.Waiting(b.Waiting))
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: layout.WaitingKey(o.Service), Value: value})
	}
	if b.Load != nil {
		value, err := layout.EncodeCompressed(b.Load)
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: layout.LoadKey(o.Service), Value: value})
	}
	if b.Admission != nil {
		value, err := layout.Encode(b.Admission)
		if err != nil {
			return kv.Txn{}, err
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: layout.AdmissionKey(o.Service), Value: value})
	}
	for _, w := range b.Jobs {
		if err := o.encodeJob(&txn, w); err != nil {
			return kv.Txn{}, err
		}
	}
	return txn, nil
}

func (o *Owner) encodeJob(txn *kv.Txn, w shard.JobWrite) error {
	if w.StateChanged {
		if err := o.encodeState(txn, w); err != nil {
			return err
		}
	}
	if w.Progress != nil {
		value, err := layout.EncodeCompressed(w.Progress)
		if err != nil {
			return err
		}
		txn.Puts = append(txn.Puts, kv.Put{Key: layout.ProgressKey(o.Service, w.ID), Value: value})
		return nil
	}
	txn.Deletes = append(txn.Deletes, layout.RecordKey(o.Service, w.ID))
	if w.HadProgress {
		txn.Deletes = append(txn.Deletes, layout.ProgressKey(o.Service, w.ID))
	}
	if w.Cancelled {
		txn.Deletes = append(txn.Deletes, layout.CancelKey(o.Service, w.ID))
	}
	return nil
}

func (o *Owner) encodeState(txn *kv.Txn, w shard.JobWrite) error {
	state := layout.State{Service: o.Service, Queue: w.Queue, Tenant: w.Tenant, State: w.State}
	if w.State.Final() {
		state.FinalAt = time.Now()
	}
	value, err := layout.Encode(state)
	if err != nil {
		return err
	}
	txn.Puts = append(txn.Puts, kv.Put{Key: layout.JobKey(w.ID), Value: value})
	return nil
}

// write repeats the same write until its outcome is known.
func (o *Owner) write(txn kv.Txn, b *shard.Batch) {
	random := backoff.NewRandom()
	begun := time.Now()
	for attempt := 1; o.ctx.Err() == nil; attempt++ {
		revision, outcome, err := o.attempt(txn, attempt)
		switch outcome {
		case written:
			took := time.Since(begun)
			o.send(func(time.Time) {
				o.shard.NoteStored(took)
				o.commitBatch(revision, b)
			})
			return
		case superseded:
			o.Logger.Warn("another owner has written; stepping down", "error", err)
			o.stepDown()
			return
		}
		if attempt == 1 {
			o.Logger.Warn("store did not take a batch; retrying", "error", err)
		}
		_ = backoff.Sleep(o.ctx, writeRetry.Delay(attempt, random)) // the loop checks ctx
	}
}

type writeOutcome uint8

const (
	unknown writeOutcome = iota
	written
	superseded
)

func (o *Owner) attempt(txn kv.Txn, number int) (kv.Revision, writeOutcome, error) {
	// WithoutCancel: a write in progress when the term ends is not aborted.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(o.ctx), o.Store.Timeout(number))
	defer cancel()
	result, err := o.Store.Txn(ctx, txn)
	if err != nil {
		return 0, unknown, err
	}
	if result.Applied {
		return result.Revision, written, nil
	}
	for _, item := range result.Current {
		if item.Key != layout.LastWriteKey(o.Service) {
			continue
		}
		marker, err := layout.Decode[layout.WriteMarker](item.Key, item.Value)
		if err == nil && marker.Nonce == o.writes.nonce {
			return item.Revision, written, nil // an earlier attempt took effect
		}
	}
	return 0, superseded, nil
}

// commitBatch records that a batch is durable.
func (o *Owner) commitBatch(revision kv.Revision, b *shard.Batch) {
	o.writing = false
	o.writes.revision = revision
	o.shard.NoteRevision(int64(revision))
	o.shard.Committed()
	for _, w := range b.Jobs {
		if w.State.Final() {
			o.finished[w.ID] = revision
		}
		if w.StateChanged {
			o.Logger.Info("job", "job", string(w.ID), "queue", w.Queue, "state", string(w.State), "revision", int64(revision))
		}
	}
	for _, start := range b.Starts() {
		o.Logger.Info("start", "task", start.Task.String(), "run", start.Run,
			"executor", string(start.Executor), "until", start.UntilMs, "free_cpu", start.Free.MilliCPU)
	}
}
