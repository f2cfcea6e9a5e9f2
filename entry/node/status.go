package node

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/api/buildinfo"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
)

// Status returns how this entry instance stands.
func (n *Node) Status() operations.Status {
	p := n.parts
	held := p.Follower.Status(time.Now())
	s := operations.Status{
		Instance: p.Options.Settings.Instance.ID, Zone: p.Options.Settings.Instance.Zone,
		Version: buildinfo.Version(), ConfigRevision: held.Revision, ConfigAge: object.Duration(held.Age),
		StoreReachable: held.StoreReachable, StoreError: held.StoreError, ConfigUnreadable: held.Unread, Executors: n.executors(), Members: n.members(),
		Duties: n.controllers.duties(),
	}
	if !held.Ready {
		s.NotReady = append(s.NotReady, held.NotReady)
	}
	if !p.Gateway.Ready() {
		s.NotReady = append(s.NotReady, "shutting down")
	}
	s.Ready = len(s.NotReady) == 0
	return s
}

func (n *Node) executors() int {
	total := 0
	for _, service := range n.parts.Directory.Snapshot().Services {
		total += len(service.Endpoints)
	}
	return total
}

func (n *Node) members() []operations.Member {
	var out []operations.Member
	for _, m := range n.parts.Peers.members() {
		out = append(out, operations.Member{
			Instance: m.ID, Zone: m.Zone, Address: m.Address, Reachable: m.Reachable, LastContact: m.LastContact,
			ConfigRevision: summaryOf(m).ConfigRevision,
		})
	}
	return out
}

// observeInterval is the time between two looks at this entry instance's own load.
const observeInterval = 250 * time.Millisecond

// observe publishes this entry instance's load to its peers, takes theirs, and
// follows the health of the executors.
func (n *Node) observe(ctx context.Context) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	sharedBy := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.publishSummary()
			sharedBy = n.divideClaims(sharedBy)
			n.parts.Health.observe(n.parts.Gateway.Executors(), now)
		}
	}
}

// divideClaims gives this entry instance its part of the claims' rate. Members that
// cannot be reached count too, since they go on making claims. It returns by how many
// the rate is divided now.
func (n *Node) divideClaims(before int) int {
	now := len(n.parts.Peers.members()) + 1
	if now == before {
		return before
	}
	rate := n.parts.Options.Settings.Gateway.ClaimsPerSecond / float64(now)
	n.parts.Deduplicator.SetBudget(rate, max(int(rate), 1))
	return now
}
