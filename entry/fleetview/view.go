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

// View is the replaceable Snapshot of an entry instance. Readers take the
// snapshot without a lock. It implements mesh.Replica.
type View struct {
	snapshot atomic.Pointer[Snapshot]
	writeMu  sync.Mutex
	changed  chan struct{}
	logger   *slog.Logger
}

// Option changes how a view works.
type Option func(*View)

// WithLogger sets the logger that gets changes of state. Without it, or with nil,
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

// Snapshot returns the fleet record as it is held now.
func (v *View) Snapshot() *Snapshot { return v.snapshot.Load() }

// Changed delivers after the snapshot was replaced; several changes may share one
// delivery. It serves a single reader.
func (v *View) Changed() <-chan struct{} { return v.changed }

// Put takes a page that was read from the store or written to it. An older page
// than the one held is ignored.
func (v *View) Put(entry platform.Entry) error {
	page, err := parsePage(entry)
	if err != nil {
		return err
	}
	v.update(func(d *draft) { d.put(page) })
	return nil
}

// parse reads a page of the store.
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

// update replaces the snapshot if change alters it.
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

// advance says that every page of the zone is held up to revision.
func (d *draft) advance(zone fleet.AvailabilityZone, revision platform.Revision) {
	if revision <= d.versions[zone] {
		return
	}
	d.versions[zone] = revision
	d.dirty = true
}
