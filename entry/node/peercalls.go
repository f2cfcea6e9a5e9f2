package node

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
)

const (
	// maintenanceMethod is the mesh call that returns a peer's maintenance status.
	maintenanceMethod = "maintenance"
	// callAllTimeout bounds the concurrent calls of one callAll.
	callAllTimeout = 2 * time.Second
)

// network calls other entry instances.
type network interface {
	members() []mesh.Member
	Call(ctx context.Context, peer fleet.InstanceID, method string, payload []byte) ([]byte, error)
}

// callAll calls a method on all reachable entry instances concurrently and returns
// their responses. Peers that do not respond are left out.
func callAll[T any](ctx context.Context, p network, method string, payload []byte) []T {
	ctx, cancel := context.WithTimeout(ctx, callAllTimeout)
	defer cancel()
	var mu sync.Mutex
	var out []T
	var calls sync.WaitGroup
	for _, m := range p.members() {
		if !m.Reachable {
			continue
		}
		calls.Go(func() {
			response, err := callJSON[T](ctx, p, m.ID, method, payload)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			out = append(out, response)
		})
	}
	calls.Wait()
	return out
}

// callJSON calls a method on one entry instance and decodes its JSON response.
func callJSON[T any](ctx context.Context, p network, peer fleet.InstanceID, method string, payload []byte) (T, error) {
	var response T
	body, err := p.Call(ctx, peer, method, payload)
	if err != nil {
		return response, err
	}
	return response, json.Unmarshal(body, &response)
}

// serveMaintenance responds to a peer's maintenance call.
func (n *Node) serveMaintenance(context.Context, fleet.InstanceID, []byte) ([]byte, error) {
	return json.Marshal(n.controllers.maintenance())
}
