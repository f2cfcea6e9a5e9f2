package node

import (
	"context"
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/settings"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/platform/httpapi"
)

// listCache remembers the last instance list, for readers that must not block.
type listCache struct {
	source platform.InstanceList
	last   atomic.Pointer[[]fleet.Instance]
}

func newListCache(source platform.InstanceList) *listCache {
	l := &listCache{source: source}
	l.last.Store(&[]fleet.Instance{})
	return l
}

// Instances reads the list from the platform and remembers it.
func (l *listCache) Instances(ctx context.Context) ([]fleet.Instance, error) {
	instances, err := l.source.Instances(ctx)
	if err != nil {
		return nil, err
	}
	l.last.Store(&instances)
	return instances, nil
}

// Last returns the list as it was last read; the caller must not change it.
func (l *listCache) Last() []fleet.Instance { return *l.last.Load() }

func newClient(s settings.Settings) *httpapi.Client {
	return httpapi.NewClient(s.Platform.URL, string(s.Instance.Zone))
}
