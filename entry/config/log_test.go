package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// putTenant returns a change that writes one tenant, based on the configuration.
func putTenant(id, name string, weight int, base *object.Config) object.Change {
	put := object.Document{Tenants: []object.Tenant{{Name: name, Weight: weight}}}
	return WithBase(object.Change{ID: id, Author: "test", Put: put}, base)
}

func newFollowerAndLog(store *memory.Platform) (*Follower, *Log) {
	follower := NewFollower(store, Options{})
	return follower, NewLog(store, follower, LogOptions{})
}

func TestAcceptPutsTheChangeInForce(t *testing.T) {
	store := memory.New(time.Now)
	follower, log := newFollowerAndLog(store)
	var revisions []object.Revision
	follower.Subscribe(func(c *object.Config) { revisions = append(revisions, c.Revision) })

	revision, err := log.Accept(t.Context(), putTenant("a", "trinacria", 3, follower.Current()))
	assert.NilError(t, err)
	assert.Equal(t, revision, object.Revision(1))
	assert.Equal(t, follower.Current().Tenants["trinacria"].Spec.Weight, 3)
	assert.DeepEqual(t, revisions, []object.Revision{0, 1})
	assert.NilError(t, follower.Ready())

	again, err := log.Accept(t.Context(), putTenant("a", "trinacria", 3, follower.Current()))
	assert.NilError(t, err)
	assert.Equal(t, again, revision, "a change sent again gets the same revision")
}

func TestStaleBaseReturnsConflictWithOtherChange(t *testing.T) {
	store := memory.New(time.Now)
	follower, log := newFollowerAndLog(store)
	_, other := newFollowerAndLog(store)
	seen := follower.Current()
	_, err := log.Accept(t.Context(), putTenant("a", "trinacria", 3, seen))
	assert.NilError(t, err)

	_, err = other.Accept(t.Context(), putTenant("b", "trinacria", 5, seen))
	var conflict *object.Conflict
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.ChangeID, "a")
	assert.Equal(t, conflict.Current, object.Revision(1))
	assert.Equal(t, len(conflict.Differences), 1)
	assert.Equal(t, conflict.Differences[0].String(), "~ Tenant/trinacria weight: 3 -> 5")
}

func TestLostResponsesAreResolved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(time.Now)
		follower, log := newFollowerAndLog(store)
		store.SetFaults(memory.Faults{LostResponsePercent: 100})
		for i := range 5 {
			id := fmt.Sprint(i)
			revision, err := log.Accept(t.Context(), putTenant(id, "tenant-"+id, 1, follower.Current()))
			assert.NilError(t, err)
			assert.Equal(t, revision, object.Revision(i+1))
		}
	})
}

func TestAcceptWithStoreUnavailableIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New(time.Now)
		follower, log := newFollowerAndLog(store)
		store.SetFaults(memory.Faults{Down: true})
		_, err := log.Accept(t.Context(), putTenant("a", "trinacria", 1, follower.Current()))
		assert.Equal(t, verdict.Of(err), verdict.NotRun)
		assert.ErrorContains(t, follower.Ready(), "neither the store nor a peer has responded")
	})
}

func TestFollowersConvergeByWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		store := memory.New(time.Now)
		watcher, _ := newFollowerAndLog(store)
		go watcher.Run(ctx)
		writer, log := newFollowerAndLog(store)
		synctest.Wait()
		_, err := log.Accept(ctx, putTenant("a", "trinacria", 3, writer.Current()))
		assert.NilError(t, err)
		synctest.Wait()
		assert.Equal(t, watcher.Current().Revision, object.Revision(1))
		cancel()
		synctest.Wait()
	})
}

func TestCompactionPreservesStateForNewFollowers(t *testing.T) {
	store := memory.New(time.Now)
	follower, log := newFollowerAndLog(store)
	for i := range retainedRevisions + 2*compactEvery {
		name := fmt.Sprintf("tenant-%d", i%20)
		_, err := log.Accept(t.Context(), putTenant(fmt.Sprint(i), name, i, follower.Current()))
		assert.NilError(t, err)
	}
	page, err := store.List(t.Context(), logPrefix, "", 1)
	assert.NilError(t, err)
	assert.Equal(t, page.Entries[0].Key, logKey(2*compactEvery+1))

	fresh, _ := newFollowerAndLog(store)
	_, err = fresh.refresh(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, fresh.Current(), follower.Current())
	assert.DeepEqual(t, mustEncode(t, fresh), mustEncode(t, follower))
}

// mustEncode returns the follower's state as a snapshot; equal states give equal bytes.
func mustEncode(t *testing.T, f *Follower) []byte {
	body, err := encodeSnapshot(f.current.Load())
	assert.NilError(t, err)
	return body
}
