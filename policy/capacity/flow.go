package capacity

// network is a directed graph with capacities and costs for minimum-cost flow.
type network struct {
	edges [][]edge
}

type edge struct {
	to       int
	capacity int
	cost     int64
	reverse  int // index of the opposite edge at to
}

func newNetwork(nodes int) *network {
	return &network{edges: make([][]edge, nodes)}
}

// add puts in an edge and returns its place at from.
func (n *network) add(from, to, capacity int, cost int64) int {
	n.edges[from] = append(n.edges[from], edge{to, capacity, cost, len(n.edges[to])})
	n.edges[to] = append(n.edges[to], edge{from, 0, -cost, len(n.edges[from]) - 1})
	return len(n.edges[from]) - 1
}

// used returns the flow over an edge that add returned.
func (n *network) used(from, index int) int {
	e := n.edges[from][index]
	return n.edges[e.to][e.reverse].capacity
}

// solve sends as much flow as possible from source to sink at the least cost, along
// one shortest path after the other. The graph has no cycle of negative cost.
func (n *network) solve(source, sink int) {
	for {
		path, found := n.shortest(source, sink)
		if !found {
			return
		}
		flow := n.bottleneck(path)
		for _, step := range path {
			e := &n.edges[step.from][step.index]
			e.capacity -= flow
			n.edges[e.to][e.reverse].capacity += flow
		}
	}
}

type step struct{ from, index int }

func (n *network) bottleneck(path []step) int {
	flow := n.edges[path[0].from][path[0].index].capacity
	for _, s := range path {
		flow = min(flow, n.edges[s.from][s.index].capacity)
	}
	return flow
}

const unreached = int64(1) << 62

// shortest finds the cheapest path with room by the queue-based Bellman-Ford
// algorithm, which allows negative costs.
func (n *network) shortest(source, sink int) ([]step, bool) {
	distance := make([]int64, len(n.edges))
	for i := range distance {
		distance[i] = unreached
	}
	distance[source] = 0
	via := make([]step, len(n.edges))
	queued := make([]bool, len(n.edges))
	queue := []int{source}
	for len(queue) > 0 {
		node := queue[0]
		queue = queue[1:]
		queued[node] = false
		for i, e := range n.edges[node] {
			reached := distance[node] + e.cost
			if e.capacity == 0 || reached >= distance[e.to] {
				continue
			}
			distance[e.to] = reached
			via[e.to] = step{node, i}
			if !queued[e.to] {
				queued[e.to] = true
				queue = append(queue, e.to)
			}
		}
	}
	if distance[sink] == unreached {
		return nil, false
	}
	return backtrack(via, source, sink), true
}

func backtrack(via []step, source, sink int) []step {
	var path []step
	for node := sink; node != source; node = via[node].from {
		path = append(path, via[node])
	}
	return path
}
