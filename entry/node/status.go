package node

import (
	"context"
	"time"

	"github.com/tarragonreach/tarragonreach/api/buildinfo"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/api/operations"
)

// Status returns the status of this entry instance.
func (n *Node) Status() operations.Status {
	p := n.parts
	configStatus := p.Follower.Status(time.Now())
	s := operations.Status{
		Instance: p.Options.Settings.Instance.ID, Zone: p.Options.Settings.Instance.Zone,
		Version: buildinfo.Version(), ConfigRevision: configStatus.Revision, ConfigAge: object.Duration(configStatus.Age),
		StoreReachable: configStatus.StoreReachable, StoreError: configStatus.StoreError, ConfigUnreadable: configStatus.Unreadable, Executors: n.executors(), Members: n.members(),
		Duties: n.controllers.duties(),
	}
	if !configStatus.Ready {
		s.NotReady = append(s.NotReady, configStatus.NotReady)
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

// observeInterval is the time between two observations of the load.
const observeInterval = 250 * time.Millisecond

// observe publishes this entry instance's load to its peers, applies theirs,
// allocates the rate of claims and records the health of the executors.
func (n *Node) observe(ctx context.Context) error {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	instances := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			n.publishSummary()
			instances = n.allocateClaimRate(instances)
			n.parts.Health.observe(n.parts.Gateway.Executors(), now)
		}
	}
}

// allocateClaimRate sets this entry instance's share of the rate of claims if the
// number of members has changed. Unreachable members count too, since they continue
// to make claims. It returns the number of entry instances that share the rate.
func (n *Node) allocateClaimRate(previousCount int) int {
	count := len(n.parts.Peers.members()) + 1
	if count == previousCount {
		return previousCount
	}
	rate := n.parts.Options.Settings.Gateway.ClaimsPerSecond / float64(count)
	n.parts.Deduplicator.SetBudget(rate, max(int(rate), 1))
	return count
}
