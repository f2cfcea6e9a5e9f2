package config

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

func TestIsWatcherSelectsLowestIDsOfZone(t *testing.T) {
	members := []Member{{"a", "x"}, {"b", "x"}, {"c", "x"}, {"a2", "y"}}
	assert.Assert(t, IsWatcher(members[0], members))
	assert.Assert(t, IsWatcher(members[1], members))
	assert.Assert(t, !IsWatcher(members[2], members))
	assert.Assert(t, IsWatcher(members[3], members), "each zone has its own watchers")
	assert.Assert(t, IsWatcher(members[2], nil), "an instance without known members watches")
	assert.Assert(t, IsWatcher(members[2], members[1:2]))
}

func TestNonWatchersPollRarelyAndReplaceLostWatchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(time.Now)
		members := []Member{{"a", "x"}, {"b", "x"}, {"c", "x"}}
		var known atomic.Pointer[[]Member]
		known.Store(&members)
		_, log := newFollowerAndLog(store)
		_, err := log.Accept(ctx, putTenant("a", "t", 1, log.follower.Current()))
		assert.NilError(t, err)
		before := store.Calls().Reads
		follower := NewFollower(store, Options{Self: members[2], Members: func() []Member { return *known.Load() }})
		go func() { _ = follower.Run(ctx) }()
		time.Sleep(time.Hour)
		reads := store.Calls().Reads - before
		assert.Assert(t, reads >= 75 && reads <= 241, "%d reads in an hour", reads)
		assert.Assert(t, !follower.Status(time.Now()).Watching)
		remaining := members[1:]
		known.Store(&remaining)
		time.Sleep(2 * time.Second)
		assert.Equal(t, store.Calls().Waiting, int64(1), "it watches once a watcher is lost")
		cancel()
		synctest.Wait()
	})
}

// immediateStore responds to every watch at once, always with the same events or none.
type immediateStore struct {
	platform.Store
	events []platform.Event
}

// Watch implements platform.Store.
func (s immediateStore) Watch(context.Context, string, platform.Revision) (platform.Events, error) {
	return platform.Events{Events: s.events}, nil
}

func TestWatchesReturningAtOnceCauseFewReads(t *testing.T) {
	for _, events := range [][]platform.Event{nil, {{Deleted: true}}} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			store := memory.New(time.Now)
			follower, log := newFollowerAndLog(store)
			_, err := log.Accept(ctx, putTenant("a", "t", 1, follower.Current()))
			assert.NilError(t, err)
			follower.store = immediateStore{store, events}
			before := store.Calls().Reads
			go func() { _ = follower.Run(ctx) }()
			time.Sleep(time.Minute)
			reads := store.Calls().Reads - before
			assert.Assert(t, reads <= 121, "%d reads in a minute", reads)
			cancel()
			synctest.Wait()
		})
	}
}

func TestStatusReportsAgeOfRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(time.Now)
		follower, log := newFollowerAndLog(store)
		go func() { _ = follower.Run(ctx) }()
		_, err := log.Accept(ctx, putTenant("a", "t", 1, follower.Current()))
		assert.NilError(t, err)
		store.SetFaults(memory.Faults{Down: true})
		time.Sleep(time.Hour)
		status := follower.Status(time.Now())
		assert.Assert(t, status.Ready && !status.StoreReachable)
		assert.Equal(t, status.Revision, object.Revision(1))
		assert.Equal(t, status.Age.Round(time.Minute), time.Hour)
		assert.Assert(t, status.StoreError != "")
		store.SetFaults(memory.Faults{})
		time.Sleep(5 * time.Second)
		assert.Assert(t, follower.Status(time.Now()).StoreReachable)
		cancel()
		synctest.Wait()
	})
}

func TestNewFollowerLoadsFromPeerWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(time.Now)
		peer, log := newFollowerAndLog(store)
		_, err := log.Accept(ctx, putTenant("a", "t", 1, peer.Current()))
		assert.NilError(t, err)
		store.SetFaults(memory.Faults{Down: true})
		fresh, _ := newFollowerAndLog(store)
		go func() { _ = fresh.Run(ctx) }()
		time.Sleep(time.Minute)
		assert.ErrorContains(t, fresh.Ready(), "neither the store nor a peer has responded")
		assert.NilError(t, fresh.Merge(ctx, peer.Read(Stream, 0, 1<<20)))
		assert.NilError(t, fresh.Ready())
		assert.Equal(t, fresh.Current().Revision, object.Revision(1))
		cancel()
		synctest.Wait()
	})
}

func TestStoreThatLostWritesDoesNotRevertFollower(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, log := newFollowerAndLog(memory.New(time.Now))
		for _, id := range []string{"a", "b"} {
			_, err := log.Accept(t.Context(), putTenant(id, id, 1, follower.Current()))
			assert.NilError(t, err)
		}
		restored := memory.New(time.Now)
		follower.store, log.store = restored, restored
		_, err := log.Accept(t.Context(), putTenant("c", "c", 1, follower.Current()))
		assert.ErrorIs(t, err, ErrStoreBehind)
		assert.Equal(t, verdict.Of(err), verdict.NotRun)

		_, other := newFollowerAndLog(restored)
		for _, id := range []string{"x", "y", "z"} {
			_, err := other.Accept(t.Context(), putTenant(id, id, 1, other.follower.Current()))
			assert.NilError(t, err)
		}
		_, err = follower.refresh(t.Context())
		assert.ErrorIs(t, err, ErrStoreDiverged)
		assert.Equal(t, follower.Current().ChangeID, "b", "the revision in force does not change")
	})
}

func TestUnreadableEntryBlocksOnlyNewChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(time.Now)
		follower, log := newFollowerAndLog(store)
		_, err := log.Accept(t.Context(), putTenant("a", "t", 1, follower.Current()))
		assert.NilError(t, err)
		entryRevision, err := store.Create(t.Context(), logKey(2), []byte("{"), 0)
		assert.NilError(t, err)
		_, err = log.Accept(t.Context(), putTenant("b", "u", 1, follower.Current()))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.ErrorContains(t, err, "log entry 2")
		assert.Equal(t, follower.Current().Revision, object.Revision(1))
		assert.NilError(t, store.Delete(t.Context(), logKey(2), entryRevision))
		_, err = log.Accept(t.Context(), putTenant("b", "u", 1, follower.Current()))
		assert.NilError(t, err)
	})
}

func TestPreviewHistoryAndRollback(t *testing.T) {
	follower, log := newFollowerAndLog(memory.New(time.Now))
	for i := range 3 {
		_, err := log.Accept(t.Context(), putTenant(fmt.Sprint(i), "t", i+1, follower.Current()))
		assert.NilError(t, err)
	}
	_, err := log.Accept(t.Context(), putTenant("new", "u", 1, follower.Current()))
	assert.NilError(t, err)

	change, err := log.Rollback(t.Context(), 2, "back", "ada", "too heavy")
	assert.NilError(t, err)
	preview, err := log.Preview(t.Context(), change)
	assert.NilError(t, err)
	assert.Equal(t, len(preview.Differences), 2)
	assert.Equal(t, preview.Differences[0].String(), "~ Tenant/t weight: 3 -> 2")
	assert.Equal(t, follower.Current().Revision, object.Revision(4), "a preview accepts nothing")

	revision, err := log.Accept(t.Context(), change)
	assert.NilError(t, err)
	assert.Equal(t, revision, object.Revision(5), "a rollback is a new revision")
	assert.Equal(t, len(follower.Current().Tenants), 1)
	newest := follower.History(1)[0]
	assert.Equal(t, newest.Author, "ada")
	assert.Equal(t, newest.Count, 2)
	assert.Equal(t, len(follower.History(100)), 5)

	preview, err = log.Preview(t.Context(), object.Change{ID: "none"})
	assert.NilError(t, err)
	assert.Equal(t, len(preview.Differences), 0, "an empty change can be previewed")
	_, err = log.Accept(t.Context(), object.Change{ID: "none"})
	assert.ErrorContains(t, err, "the change is empty")

	_, err = log.Rollback(t.Context(), 5, "again", "ada", "")
	assert.ErrorIs(t, err, ErrNoDifference)
	_, err = log.Rollback(t.Context(), 9, "ahead", "ada", "")
	assert.Equal(t, verdict.CodeOf(err), CodeRevisionUnknown)
}

func TestRolloutWaitsForEveryLiveInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		follower, log := newFollowerAndLog(memory.New(time.Now))
		rollout := NewRollout(follower, "a")
		observe := func(instances map[fleet.InstanceID]InstanceRevision) { rollout.Observe(instances, "a", time.Now()) }
		observe(map[fleet.InstanceID]InstanceRevision{"b": {}, "c": {}})
		_, err := log.Accept(t.Context(), putTenant("x", "t", 1, follower.Current()))
		assert.NilError(t, err)
		time.Sleep(time.Second)
		b := InstanceRevision{Revision: 1, InForce: map[object.Revision]time.Time{1: time.Now()}}
		observe(map[fleet.InstanceID]InstanceRevision{"b": b, "c": {}})
		progress := rollout.Recent(1)[0]
		assert.DeepEqual(t, progress.Behind, []fleet.InstanceID{"c"})
		assert.Equal(t, progress.Duration(), time.Duration(0))
		time.Sleep(time.Second)
		observe(map[fleet.InstanceID]InstanceRevision{"b": b})
		progress = rollout.Recent(1)[0]
		assert.Equal(t, progress.Duration(), time.Second, "a lost instance delays no rollout; the time is the one that b reported")
		assert.Equal(t, len(progress.Behind), 0)
	})
}
