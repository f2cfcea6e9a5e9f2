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
	// heldMethod is the mesh call that returns which revision the callee holds.
	heldMethod = "held"
	// rollOutInterval is the time between two questions after a change was accepted
	// here, rollOutLimit how long they go on.
	rollOutInterval = 500 * time.Millisecond
	rollOutLimit    = 30 * time.Second
)

// heldReply is an entry instance's answer.
type heldReply struct {
	ID   fleet.InstanceID        `json:"id"`
	Held config.InstanceRevision `json:"held"`
}

// serveHeld answers which revision is held here, and when each of the named ones
// came into force.
func (p parts) serveHeld(_ context.Context, _ fleet.InstanceID, payload []byte) ([]byte, error) {
	var asked []object.Revision
	if err := json.Unmarshal(payload, &asked); err != nil {
		return nil, fmt.Errorf("decode the revisions: %w", err)
	}
	reply := heldReply{ID: p.Options.Settings.Instance.ID}
	reply.Held = config.InstanceRevision{Revision: p.Follower.Current().Revision, InForce: map[object.Revision]time.Time{}}
	for _, revision := range asked {
		if since, known := p.Follower.InForceSince(revision); known {
			reply.Held.InForce[revision] = since
		}
	}
	return json.Marshal(reply)
}

// askHeld asks every reachable entry instance about the revisions whose roll-out is
// not known to be complete. It reports whether any still waits.
func (p parts) askHeld(ctx context.Context) bool {
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

// followRollOut measures the roll-out of a change that was accepted here. Only the
// accepting entry instance does, so that a change costs one round of questions.
func (p parts) followRollOut() {
	ctx, cancel := context.WithTimeout(context.Background(), rollOutLimit)
	defer cancel()
	ticker := time.NewTicker(rollOutInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			if !p.askHeld(ctx) {
				return
			}
		}
	}
}

// unreachable lists the entry instances of which nothing is known now.
func (p parts) unreachable() []fleet.InstanceID {
	var out []fleet.InstanceID
	for _, m := range p.Peers.members() {
		if !m.Reachable {
			out = append(out, m.ID)
		}
	}
	return out
}
