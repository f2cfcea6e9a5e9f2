package main

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const (
	// manyChanges exceeds the number of single changes that a follower keeps, so that
	// it sends a snapshot to a peer without a configuration.
	manyChanges  = 530
	maxReadBytes = 1 << 20
)

// TestSnapshotOfAnOlderRevisionIsNotApplied merges an outdated snapshot into a
// follower, as a connection that stalled for a time may deliver it.
func TestSnapshotOfAnOlderRevisionIsNotApplied(t *testing.T) {
	t.Parallel()
	store := memory.New(time.Now)
	source := config.NewFollower(store, config.Options{})
	log := config.NewLog(store, source, config.LogOptions{})
	accept := func(i int) {
		name := fmt.Sprintf("tenant-%d", i)
		change := object.Change{ID: name}
		edit, err := object.Parse([]byte(fmt.Sprintf(`{"tenants": [{"name": %q}]}`, name)))
		assert.NilError(t, err)
		change.Put = edit.Put
		_, err = log.Accept(t.Context(), config.WithBase(change, source.Current()))
		assert.NilError(t, err)
	}
	for i := range manyChanges {
		accept(i)
	}
	older := source.Read(config.Stream, 0, maxReadBytes)
	assert.Assert(t, len(older) == 1 && older[0].Snapshot)
	accept(manyChanges)

	peer := config.NewFollower(store, config.Options{})
	assert.NilError(t, peer.Merge(t.Context(), source.Read(config.Stream, 0, maxReadBytes)))
	assert.Equal(t, int(peer.Current().Revision), manyChanges+1)
	assert.NilError(t, peer.Merge(t.Context(), older))
	assert.Equal(t, int(peer.Current().Revision), manyChanges+1)

	// A snapshot sent with a wrong, newer revision isn't applied either.
	mislabelled := mesh.Document{Stream: config.Stream, Version: manyChanges + 2, Snapshot: true, Body: older[0].Body}
	_ = peer.Merge(t.Context(), []mesh.Document{mislabelled})
	assert.Equal(t, int(peer.Current().Revision), manyChanges+1)
}
