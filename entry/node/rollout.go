package node

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/config"
)

const (
	// heldMethod is the mesh call that returns the revision that the callee holds.
	heldMethod = "held"
	// rolloutInterval is the time between two queries of the entry instances after
	// this one accepted a change; they end after rolloutTimeout.
	rolloutInterval = 500 * time.Millisecond
	rolloutTimeout  = 30 * time.Second
)

// heldReply is an entry instance's response to the held call.
type heldReply struct {
	ID   fleet.InstanceID        `json:"id"`
	Held config.InstanceRevision `json:"held"`
}

// serveHeld returns the revision that this entry instance holds, and when each of
// the requested revisions came into force.
func (p parts) serveHeld(_ context.Context, _ fleet.InstanceID, payload []byte) ([]byte, error) {
	var requested []object.Revision
	if err := json.Unmarshal(payload, &requested); err != nil {
		return nil, fmt.Errorf("decode the revisions: %w", err)
	}
	reply := heldReply{ID: p.Options.Settings.Instance.ID}
	reply.Held = config.InstanceRevision{Revision: p.Follower.Current().Revision, InForce: map[object.Revision]time.Time{}}
	for _, revision := range requested {
		if since, known := p.Follower.InForceSince(revision); known {
			reply.Held.InForce[revision] = since
		}
	}
	return json.Marshal(reply)
}

// queryHeld queries every reachable entry instance about the revisions whose rollout
// is not known to be complete. It reports whether any is still incomplete.
func (p parts) queryHeld(ctx context.Context) bool {
	payload, err := json.Marshal(p.Rollout.Waiting())
	if err != nil {
		return false
	}
	held := map[fleet.InstanceID]config.InstanceRevision{}
	for _, reply := range callAll[heldReply](ctx, p.Peers, heldMethod, payload) {
		held[reply.ID] = reply.Held
	}
	p.Rollout.Observe(held, p.Options.Settings.Instance.ID, time.Now())
	return len(p.Rollout.Waiting()) > 0
}

// followRollout measures the rollout of a change that this entry instance accepted.
// Only the accepting entry instance does so, which limits the mesh calls per change.
func (p parts) followRollout() {
	ctx, cancel := context.WithTimeout(context.Background(), rolloutTimeout)
	defer cancel()
	ticker := time.NewTicker(rolloutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !p.queryHeld(ctx) {
				return
			}
		}
	}
}

// unreachable lists the members that are not reachable now.
func (p parts) unreachable() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, m := range p.Peers.members() {
		if !m.Reachable {
			out = append(out, m.ID)
		}
	}
	return out
}
