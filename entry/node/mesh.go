package node

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync/atomic"

	"github.com/uber-go/tally/v4"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/entry/config"
	"github.com/tarragonreach/tarragonreach/entry/settings"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/mesh/keys"
)

// meshTLS returns the TLS settings of the mesh: the ones given, or the PEM files'.
func meshTLS(o Options) (*tls.Config, error) {
	if o.MeshTLS != nil {
		return o.MeshTLS, nil
	}
	files := o.Settings.Mesh.TLS
	return keys.Load(files.CertFile, files.KeyFile, files.CAFile)
}

// peers gives access to the mesh before it is made, since the mesh and the
// holders of its streams need each other.
type peers struct {
	node atomic.Pointer[mesh.Node]
}

// members returns the entry instances known to live, this one not included.
func (p *peers) members() []mesh.Member {
	node := p.node.Load()
	if node == nil {
		return nil
	}
	return node.Members()
}

// reachable returns the reachable entry instances as the configuration follower
// takes them.
func (p *peers) reachable() []config.Member {
	var out []config.Member
	for _, m := range p.members() {
		if m.Reachable {
			out = append(out, config.Member{ID: m.ID, Zone: m.Zone})
		}
	}
	return out
}

// changed tells the mesh that a stream has something new.
func (p *peers) changed() {
	if node := p.node.Load(); node != nil {
		node.ReplicaChanged()
	}
}

// seeds joins the settings' addresses and those of the platform's list, both of
// which may be out of date.
func seeds(s settings.Settings, list *listCache) func() []string {
	return func() []string {
		out := append([]string(nil), s.Mesh.Seeds...)
		for _, i := range list.Last() {
			if i.Kind == fleet.KindEntry && i.ID != s.Instance.ID && !i.Leaving {
				out = append(out, i.Address)
			}
		}
		return out
	}
}

// meshMetrics counts the mesh's messages by kind.
type meshMetrics struct {
	scope tally.Scope
}

// MessageSent counts one message sent.
func (m meshMetrics) MessageSent(kind string, bytes int) { m.count("sent", kind, bytes) }

// MessageReceived counts one message received.
func (m meshMetrics) MessageReceived(kind string, bytes int) { m.count("received", kind, bytes) }

// MessageRefused counts one message or connection dropped.
func (m meshMetrics) MessageRefused(reason string) {
	m.scope.Tagged(map[string]string{"reason": reason}).Counter("messages_refused").Inc(1)
}

// LinksOpen reports the open connections.
func (m meshMetrics) LinksOpen(n int) { m.scope.Gauge("links_open").Update(float64(n)) }

func (m meshMetrics) count(direction, kind string, bytes int) {
	scope := m.scope.Tagged(map[string]string{"direction": direction, "kind": kind})
	scope.Counter("messages").Inc(1)
	scope.Counter("message_bytes").Inc(int64(bytes))
}

func newMesh(o Options, p parts, replicas []mesh.Replica) (*mesh.Node, error) {
	tlsConfig, err := meshTLS(o)
	if err != nil {
		return nil, fmt.Errorf("mesh TLS: %w", err)
	}
	s := o.Settings
	node, err := mesh.New(mesh.Options{
		ID: s.Instance.ID, Zone: s.Instance.Zone, Listen: s.Mesh.Listen, Advertise: s.Mesh.Advertise,
		TLS: tlsConfig, Seeds: seeds(s, p.List), Replicas: replicas,
		Logger: p.Log.Logger, Metrics: meshMetrics{p.Metrics.Scope.SubScope("mesh")},
	})
	if err != nil {
		return nil, fmt.Errorf("open the mesh listener: %w", err)
	}
	p.Peers.node.Store(node)
	return node, nil
}

// errNoMesh says that the mesh is not up yet.
var errNoMesh = errors.New("the mesh is not up yet")

// Call runs a method on another entry instance.
func (p *peers) Call(ctx context.Context, peer fleet.InstanceID, method string, payload []byte) ([]byte, error) {
	node := p.node.Load()
	if node == nil {
		return nil, errNoMesh
	}
	return node.Call(ctx, peer, method, payload)
}
