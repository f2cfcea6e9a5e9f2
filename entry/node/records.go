package node

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/platform/backoff"
)

const (
	// watcherCheckInterval is the time between two checks whether this entry instance
	// should watch the store.
	watcherCheckInterval = 2 * time.Second
	// recordsPollInterval is the time between two reads of the fleet record by an
	// entry instance that does not watch the store, in case the mesh does not deliver
	// it.
	recordsPollInterval = 5 * time.Minute
)

// isWatcher reports whether this entry instance is one of the few of its
// availability zone that watch the store and compete for duties.
func (p parts) isWatcher() bool {
	s := p.Options.Settings.Instance
	return config.IsWatcher(config.Member{ID: s.ID, Zone: s.Zone}, p.Peers.reachable())
}

// followRecords keeps the copy of the fleet record up to date: by a watch if this
// entry instance is a watcher, else through the mesh and a read of the store every
// recordsPollInterval.
func (n *Node) followRecords(ctx context.Context) error {
	var lastRead time.Time
	for ctx.Err() == nil {
		switch {
		case n.parts.isWatcher():
			n.watchRecords(ctx)
		case time.Since(lastRead) > recordsPollInterval:
			if _, err := n.parts.View.Load(ctx, n.parts.Store); err == nil {
				lastRead = time.Now()
			}
		}
		_ = backoff.Sleep(ctx, watcherCheckInterval)
	}
	return nil
}

// watchRecords follows the store until this entry instance is no longer a watcher.
func (n *Node) watchRecords(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n.loops.running.Go(func() {
		defer cancel()
		for n.parts.isWatcher() && backoff.Sleep(ctx, watcherCheckInterval) == nil {
		}
	})
	_ = n.parts.View.Follow(ctx, n.parts.Store)
}
