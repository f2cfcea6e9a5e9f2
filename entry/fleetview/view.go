package fleetview

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// View holds the current Snapshot of an entry instance, which updates replace. Readers
// get the snapshot without a lock. View implements mesh.Replica.
type View struct {
	snapshot atomic.Pointer[Snapshot]
	writeMu  sync.Mutex
	changed  chan struct{}
	logger   *slog.Logger
}

// Option configures a view.
type Option func(*View)

// WithLogger sets the logger that receives changes of state. Without it, or with nil,
// they are discarded.
func WithLogger(logger *slog.Logger) Option {
	return func(v *View) {
		if logger != nil {
			v.logger = logger
		}
	}
}

// New returns an empty view.
func New(options ...Option) *View {
	v := &View{changed: make(chan struct{}, 1), logger: slog.New(slog.DiscardHandler)}
	for _, option := range options {
		option(v)
	}
	v.snapshot.Store(&Snapshot{})
	return v
}

// Snapshot returns the current snapshot of the fleet record.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Changed returns a channel that receives a value after the snapshot was replaced. One
// value may stand for several changes. The channel is for a single reader.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Put adds a page that was read from the store or written to it. It ignores a page that
// is older than the one held.
func (v *View) Put(entry platform.Entry) error {
	page, err := parsePage(entry)
	if err != nil {
		return err
	}
	v.update(func(d *draft) { d.put(page) })
	return nil
}

// parsePage decodes a page of the store.
func parsePage(entry platform.Entry) (PageEntry, error) {
	zone, err := zoneOf(entry.Key)
	if err != nil {
		return PageEntry{}, err
	}
	page := PageEntry{Key: entry.Key, Zone: zone, Revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &page.Page); err != nil {
		return PageEntry{}, fmt.Errorf("page %s at revision %d: %w", entry.Key, entry.Revision, err)
	}
	return page, nil
}

func zoneOf(key string) (fleet.AvailabilityZone, error) {
	rest, isPage := strings.CutPrefix(key, fleet.PagePrefix)
	zone, number, complete := strings.Cut(rest, "/")
	if !isPage || !complete || zone == "" || number == "" {
		return "", fmt.Errorf("key %q: want %s<availabilityZone>/<page>", key, fleet.PagePrefix)
	}
	return fleet.AvailabilityZone(zone), nil
}

// draft is a snapshot that is being built.
type draft struct {
	Snapshot
	dirty bool
}

// update applies change to a copy of the snapshot and publishes the copy if it differs.
func (v *View) update(change func(*draft)) {
	v.writeMu.Lock()
	defer v.writeMu.Unlock()
	old := v.snapshot.Load()
	d := &draft{Snapshot: Snapshot{pages: maps.Clone(old.pages), versions: maps.Clone(old.versions)}}
	if d.pages == nil {
		d.pages = make(map[string]PageEntry)
		d.versions = make(map[fleet.AvailabilityZone]platform.Revision)
	}
	change(d)
	if !d.dirty {
		return
	}
	v.snapshot.Store(&d.Snapshot)
	select {
	case v.changed <- struct{}{}:
	default:
	}
}

func (d *draft) put(page PageEntry) {
	if page.Revision <= d.pages[page.Key].Revision {
		return
	}
	d.pages[page.Key] = page
	d.dirty = true
}

// advance records that all pages of the zone are held up to revision.
func (d *draft) advance(zone fleet.AvailabilityZone, revision platform.Revision) {
	if revision <= d.versions[zone] {
		return
	}
	d.versions[zone] = revision
	d.dirty = true
}
