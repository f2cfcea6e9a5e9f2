package dev

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/node"
	"github.com/tarragonreach/tarragonreach/entry/settings"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
	"github.com/tarragonreach/tarragonreach/platform/httpapi"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

// devFleet is the running fleet of the development mode.
type devFleet struct {
	platform *memory.Platform
	server   *http.Server
	address  string // host:port of the stand-in platform
	backends *backends
	workers  *workers
	entries  []*node.Node
}

// entriesPerZone is the number of entry instances in each availability zone. Only two
// of them watch the store; the third receives configuration changes over the mesh.
const entriesPerZone = 3

const (
	devReadinessDelay = 200 * time.Millisecond
	devGrace          = 5 * time.Second
	devCallRate       = 1000 // platform calls per second, far above what a short load needs
)

func startFleet(ctx context.Context, o Options) (*devFleet, error) {
	f := &devFleet{platform: memory.New(time.Now)}
	if err := f.startPlatform(); err != nil {
		return f, err
	}
	var err error
	if f.backends, err = startBackends(zones); err != nil {
		return f, err
	}
	f.workers = startWorkers(f.platform, zones)
	f.platform.SetInstances(append(f.backends.instances(), f.workers.instances...))
	if err := f.startEntries(ctx, o); err != nil {
		return f, err
	}
	f.platform.SetInstances(slices.Concat(f.backends.instances(), f.workers.instances, f.entryInstances()))
	return f, f.applyFirstConfig(ctx)
}

// startPlatform serves the stand-in platform and its admin API, which turns faults on
// and off, on one listener.
func (f *devFleet) startPlatform() error {
	listener, err := net.Listen("tcp", anyLoopbackPort)
	if err != nil {
		return fmt.Errorf("open the listener of the stand-in platform: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle(httpapi.AdminPrefix, httpapi.AdminHandler(f.platform))
	mux.Handle("/", httpapi.NewHandler(f.platform))
	f.address = listener.Addr().String()
	f.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go f.server.Serve(listener)
	return nil
}

func (f *devFleet) startEntries(ctx context.Context, o Options) error {
	authority, err := keys.NewAuthority()
	if err != nil {
		return fmt.Errorf("create the mesh's certificate authority: %w", err)
	}
	for _, zone := range zones {
		for i := range entriesPerZone {
			if err := f.startEntry(ctx, o, authority, zone, i); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *devFleet) startEntry(ctx context.Context, o Options, a *keys.Authority, zone fleet.AvailabilityZone, i int) error {
	id := fleet.InstanceID(fmt.Sprintf("entry-%s-%d", zone, i))
	tlsConfig, err := a.Issue(id)
	if err != nil {
		return fmt.Errorf("issue a certificate: %w", err)
	}
	entry, err := node.New(node.Options{
		Settings: f.entrySettings(o, id, zone), LogOutput: o.LogOutput, MeshTLS: tlsConfig,
	})
	if err != nil {
		return err
	}
	f.entries = append(f.entries, entry)
	return entry.Start(ctx)
}

func (f *devFleet) entrySettings(o Options, id fleet.InstanceID, zone fleet.AvailabilityZone) settings.Settings {
	s := settings.Default()
	s.Instance = settings.Instance{ID: id, Zone: zone}
	s.Caller.Listen = anyLoopbackPort
	s.Operator.Listen = anyLoopbackPort
	s.Mesh.Listen = anyLoopbackPort
	s.Mesh.Seeds = f.meshAddresses()
	s.Platform.URL = "http://" + f.address
	s.Platform.WritesPerSecond, s.Platform.ReadsPerSecond = devCallRate, devCallRate
	s.Shutdown.ReadinessDelay = object.Duration(devReadinessDelay)
	s.Shutdown.Grace = object.Duration(devGrace)
	s.Log = settings.Log{Level: o.LogLevel, Format: "text"}
	return s
}

func (f *devFleet) meshAddresses() []string {
	var out []string
	for _, e := range f.entries {
		out = append(out, e.MeshAddr())
	}
	return out
}

func (f *devFleet) callerAddresses() []string {
	var out []string
	for _, e := range f.entries {
		out = append(out, e.CallerAddr())
	}
	return out
}

func (f *devFleet) entryInstances() []fleet.Instance {
	var out []fleet.Instance
	for _, e := range f.entries {
		s := e.Status()
		out = append(out, fleet.Instance{ID: s.Instance, Kind: fleet.KindEntry, Zone: s.Zone, Address: e.MeshAddr()})
	}
	return out
}

// close stops all components. It may be called on a fleet that started only partially.
func (f *devFleet) close() {
	ctx, cancel := context.WithTimeout(context.Background(), devReadinessDelay+devGrace)
	defer cancel()
	stopEntries(ctx, f.entries)
	if f.workers != nil {
		f.workers.close()
	}
	if f.backends != nil {
		f.backends.close()
	}
	if f.server != nil {
		f.server.Close()
	}
}
