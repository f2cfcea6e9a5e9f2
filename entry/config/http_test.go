package config

import (
	"context"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/httpapi"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// hookedStore runs hook after the first create, before its response is returned.
type hookedStore struct {
	platform.Store
	once sync.Once
	hook func()
}

// Create implements platform.Store.
func (s *hookedStore) Create(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	revision, err := s.Store.Create(ctx, key, value, lease)
	s.once.Do(s.hook)
	return revision, err
}

// newLogOverHTTP returns a log that reaches its store by HTTP over loopback. The
// responses to its writes are lost, and hook runs after the first write.
func newLogOverHTTP(t *testing.T, hook func(*memory.Platform)) (*memory.Platform, *Log) {
	p := memory.New(time.Now)
	server := httptest.NewServer(httpapi.NewHandler(p))
	t.Cleanup(server.Close)
	client := httpapi.NewClient(server.URL, "palermo")
	t.Cleanup(client.Close)
	p.SetFaults(memory.Faults{LostResponsePercent: 100})
	store := &hookedStore{Store: client, hook: func() { hook(p) }}
	return p, NewLog(store, NewFollower(store, Options{}), LogOptions{})
}

func TestStoreOutageDuringAcceptOverHTTP(t *testing.T) {
	p, log := newLogOverHTTP(t, func(p *memory.Platform) {
		p.SetFaults(memory.Faults{Down: true})
		time.AfterFunc(300*time.Millisecond, func() { p.SetFaults(memory.Faults{}) })
	})
	revision, err := log.Accept(t.Context(), putTenant("a", "t", 1, log.follower.Current()))
	assert.NilError(t, err)
	assert.Equal(t, revision, object.Revision(1))
	page, err := p.List(t.Context(), logPrefix, "", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(page.Entries), 1, "the change is in the log once")
}

func TestPermanentStoreOutageDuringAcceptIsAmbiguous(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	p, log := newLogOverHTTP(t, func(p *memory.Platform) {
		p.SetFaults(memory.Faults{Down: true})
		cancel()
	})
	change := putTenant("a", "t", 1, log.follower.Current())
	_, err := log.Accept(ctx, change)
	assert.Equal(t, verdict.Of(err), verdict.MayHaveRun)
	assert.Equal(t, verdict.CodeOf(err), CodeOutcomeUnknown)

	p.SetFaults(memory.Faults{})
	revision, err := log.Accept(t.Context(), change)
	assert.NilError(t, err)
	assert.Equal(t, revision, object.Revision(1), "the same change sent again gets the same revision")
	_, err = p.Get(t.Context(), logKey(2))
	assert.ErrorIs(t, err, platform.ErrNotFound)
}
