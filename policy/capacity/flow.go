package capacity

// network is a directed graph with capacities and costs for minimum-cost flow.
type network struct {
	edges [][]edge
	// Scratch space of shortestPath; all but queue are indexed by node.
	distances []int64
	via       []pathStep
	queued    []bool
	queue     []int
}

type edge struct {
	to       int
	capacity int
	cost     int64
	reverse  int // index of the opposite edge at to
}

func newNetwork(nodes int) *network {
	return &network{
		edges: make([][]edge, nodes), distances: make([]int64, nodes),
		via: make([]pathStep, nodes), queued: make([]bool, nodes),
	}
}

// addEdge adds an edge and returns its index among the edges of from.
func (n *network) addEdge(from, to, capacity int, cost int64) int {
	n.edges[from] = append(n.edges[from], edge{to, capacity, cost, len(n.edges[to])})
	n.edges[to] = append(n.edges[to], edge{from, 0, -cost, len(n.edges[from]) - 1})
	return len(n.edges[from]) - 1
}

// edgeFlow returns the flow over the edge of from with the index that addEdge returned.
func (n *network) edgeFlow(from, index int) int {
	e := n.edges[from][index]
	return n.edges[e.to][e.reverse].capacity
}

// solve sends as much flow as possible from source to sink at the lowest cost, by
// successive shortest paths. The graph must have no cycle of negative cost.
func (n *network) solve(source, sink int) {
	for {
		path, found := n.shortestPath(source, sink)
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

type pathStep struct{ from, index int }

func (n *network) bottleneck(path []pathStep) int {
	flow := n.edges[path[0].from][path[0].index].capacity
	for _, s := range path {
		flow = min(flow, n.edges[s.from][s.index].capacity)
	}
	return flow
}

const unreached = int64(1) << 62

// shortestPath finds the cheapest path with free capacity by the queue-based
// Bellman-Ford algorithm, which allows negative costs.
func (n *network) shortestPath(source, sink int) ([]pathStep, bool) {
	for i := range n.distances {
		n.distances[i] = unreached
	}
	n.distances[source] = 0
	n.queue = append(n.queue[:0], source)
	for next := 0; next < len(n.queue); next++ {
		node := n.queue[next]
		n.queued[node] = false
		n.relax(node)
	}
	if n.distances[sink] == unreached {
		return nil, false
	}
	return backtrack(n.via, source, sink), true
}

// relax relaxes the outgoing edges of a node and queues the nodes whose distance fell.
func (n *network) relax(node int) {
	for i, e := range n.edges[node] {
		distance := n.distances[node] + e.cost
		if e.capacity == 0 || distance >= n.distances[e.to] {
			continue
		}
		n.distances[e.to] = distance
		n.via[e.to] = pathStep{node, i}
		if !n.queued[e.to] {
			n.queued[e.to] = true
			n.queue = append(n.queue, e.to)
		}
	}
}

func backtrack(via []pathStep, source, sink int) []pathStep {
	var path []pathStep
	for node := sink; node != source; node = via[node].from {
		path = append(path, via[node])
	}
	return path
}
