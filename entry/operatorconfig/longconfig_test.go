package operatorconfig

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
)

// longStore holds one configuration of some length and counts the bytes of the values that it returns. Its
// watches bring nothing.
type longStore struct {
	mu       sync.Mutex
	item     kv.Item
	returned int
	calls    int
}

func (s *longStore) put(version int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	padding := strings.Repeat(" ", longConfig)
	s.item = kv.Item{Key: registry.ConfigKey, Revision: s.item.Revision + 7, Value: fmt.Appendf(nil, `{"version":%d,"routes":[],"services":[]}%s`, version, padding)}
}

func (s *longStore) take() kv.Item {
	s.returned += len(s.item.Value)
	return s.item
}

func (s *longStore) Range(context.Context, string, string, kv.Consistency) (kv.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return kv.Page{Items: []kv.Item{s.take()}, AsOf: s.item.Revision}, nil
}

func (s *longStore) Txn(_ context.Context, t kv.Txn) (kv.TxnResult, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if t.Conditions[0] == (kv.Condition{Key: registry.ConfigKey, Revision: s.item.Revision}) {
		return kv.TxnResult{Applied: true, Revision: s.item.Revision}, nil
	}
	return kv.TxnResult{Current: []kv.Item{s.take()}}, nil
}

func (s *longStore) Watch(ctx context.Context, _ string, _ kv.Revision, wait time.Duration) (kv.Events, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return kv.Events{}, ctx.Err()
}

func (s *longStore) CloseIdle() {}

const longConfig = 200_000 // bytes

// Guards against a long configuration whose regular reads fill the links of all instances: 200 kB each 0.6 s are
// more than 2 Mbit/s carry. Changes are in force as soon as with reads. On a fast link it is read as before.
func TestLongConfigurationFillsTheLink(t *testing.T) {
	for _, c := range []struct {
		link linkshare.Rate
		most int // bytes of values
	}{{250_000, 3 * longConfig}, {125e6, 200 * longConfig}} {
		synctest.Test(t, func(t *testing.T) {
			store := &longStore{}
			store.put(1)
			f := New(store, Options{ApplyWithin: applyWithin, Link: c.link}, func(*cluster.Config) {}, slog.New(slog.DiscardHandler), tally.NoopScope)
			ctx, cancel := context.WithCancel(t.Context())
			var running sync.WaitGroup
			running.Go(func() { f.Run(ctx) })
			time.Sleep(time.Minute)
			store.put(2)
			time.Sleep(applyWithin / 2)
			assert.Equal(t, f.Current().Version, int64(2))
			time.Sleep(time.Minute)
			assert.Assert(t, f.Knowledge().Recent)
			cancel()
			running.Wait()
			assert.Assert(t, store.calls > 100, "%d calls", store.calls)
			assert.Assert(t, store.returned <= c.most, "%d bytes", store.returned)
			assert.Assert(t, c.link < 1e6 || store.returned > 100*longConfig, "%d bytes", store.returned)
		})
	}
}
