package node

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

// summary is what an entry instance sends to its peers with its heartbeats.
type summary struct {
	ConfigRevision object.Revision       `cbor:"1,keyasint"`
	Services       []routing.ServiceLoad `cbor:"2,keyasint,omitempty"`
}

// summaryOf decodes a peer's summary; one that cannot be decoded counts as empty.
func summaryOf(m mesh.Member) summary {
	var s summary
	if err := cbor.Unmarshal(m.Summary, &s); err != nil {
		return summary{}
	}
	return s
}

// publishSummary publishes this entry instance's load to its peers and applies
// theirs.
func (n *Node) publishSummary() {
	p := n.parts
	load := p.Gateway.LoadSummary()
	p.OwnLoad.Store(&load)
	own := summary{ConfigRevision: p.Follower.Current().Revision, Services: load.Services}
	body, err := cbor.Marshal(own)
	if err != nil {
		p.Log.Error("the load summary could not be encoded", "error", err)
		return
	}
	if err := n.mesh.SetSummary(body); err != nil {
		p.Log.Error("the mesh did not accept the load summary", "error", err)
	}
	p.Gateway.SetPeerLoads(n.peerLoads())
}

func (n *Node) peerLoads() []routing.PeerLoad {
	var out []routing.PeerLoad
	for _, m := range n.parts.Peers.members() {
		if m.Reachable {
			out = append(out, routing.PeerLoad{Peer: string(m.ID), Services: summaryOf(m).Services})
		}
	}
	return out
}
