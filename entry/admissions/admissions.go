// Package admissions keeps what the owners of all services have published about the waits of new
// jobs, so that an instance can decide about a job without a call.
package admissions

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/policy/admit"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

const (
	// watchWait bounds one watch. Most of the time nothing is published, and each call has a
	// price; what is missed meanwhile only means that jobs are accepted.
	watchWait = 15 * time.Second
	// watchPause bounds the rate of watches while several services publish.
	watchPause = 100 * time.Millisecond
)

// Terms knows which terms of duties are over.
type Terms interface {
	Over(duty layout.Duty, token int64) bool
}

// Follower follows the admissions of all services. Its methods may be called concurrently.
type Follower struct {
	store  follow.Store
	terms  Terms
	logger *slog.Logger
	enable chan bool // the latest value only

	mu    sync.Mutex
	known map[cluster.Service]entry
}

type entry struct {
	shard.Admission
	revision kv.Revision
	at       time.Time // when it was received
}

// New returns a follower that is not enabled.
func New(store follow.Store, terms Terms, logger *slog.Logger) *Follower {
	return &Follower{store: store, terms: terms, logger: logger, enable: make(chan bool, 1), known: map[cluster.Service]entry{}}
}

// Enable sets whether the follower watches the store: only while the operator's configuration has
// tenants and late jobs are rejected. It does not block; there is one caller at a time.
func (f *Follower) Enable(enabled bool) {
	select {
	case <-f.enable: // a value that Run has not taken yet
	default:
	}
	f.enable <- enabled
}

// Run follows the admissions, while that is enabled, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case enabled := <-f.enable:
			if enabled {
				f.watch(ctx)
			}
		}
	}
}

// watch follows the admissions until ctx ends or that is disabled, and forgets them then.
func (f *Follower) watch(ctx context.Context) {
	watchCtx, cancel := context.WithCancel(ctx)
	w := follow.Follower{Store: f.store, Prefix: layout.AdmissionPrefix, Pause: watchPause, Wait: watchWait, Apply: f.apply, Logger: f.logger}
	var running sync.WaitGroup
	running.Go(func() { w.Run(watchCtx) })
	for enabled := true; enabled; {
		select {
		case enabled = <-f.enable:
		case <-ctx.Done():
			enabled = false
		}
	}
	cancel()
	running.Wait()
	f.apply(follow.Change{Reset: true})
}

func (f *Follower) apply(c follow.Change) {
	f.mu.Lock()
	defer f.mu.Unlock()
	last := f.known
	if c.Reset {
		f.known = make(map[cluster.Service]entry, len(c.Events))
	}
	for _, event := range c.Events {
		service := cluster.Service(strings.TrimPrefix(event.Key, layout.AdmissionPrefix))
		if event.Removed {
			delete(f.known, service)
			continue
		}
		if e, found := last[service]; found && e.revision == event.Revision {
			f.known[service] = e // listed again: it is as old as it was
			continue
		}
		f.applyItem(service, event.Item)
	}
}

// applyItem decodes an admission. One that is not readable, or not of the latest term, counts as
// none.
func (f *Follower) applyItem(service cluster.Service, item kv.Item) {
	last, found := f.known[service]
	delete(f.known, service)
	a, err := layout.Decode[shard.Admission](item.Key, item.Value)
	if err == nil {
		err = a.Check()
	}
	if err != nil {
		f.logger.Error("admission not readable; jobs are accepted", "service", string(service), "revision", int64(item.Revision), "error", err)
		return
	}
	if found && a.Token < last.Token {
		return
	}
	f.known[service] = entry{a, item.Revision, time.Now()}
}

// Known returns what is known about a service, or nil.
func (f *Follower) Known(service cluster.Service) *admit.Knowledge {
	f.mu.Lock()
	e, found := f.known[service]
	f.mu.Unlock()
	if !found || !e.Rejects() {
		return nil
	}
	return &admit.Knowledge{Admission: e.Admission, Received: time.Since(e.at), TermOver: f.terms.Over(layout.ServiceDuty(service), e.Token)}
}
