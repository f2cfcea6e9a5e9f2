package host_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// network connects clients and servers in memory, so that they can run in virtual time.
type network struct {
	mu         sync.Mutex
	listeners  map[string]*memoryListener
	partitions map[route]bool
	conns      map[route][]net.Conn
}

// route leads from a machine, or from all machines if from is empty, to an address.
type route struct{ from, to string }

func newNetwork() *network {
	return &network{listeners: map[string]*memoryListener{}, partitions: map[route]bool{}, conns: map[route][]net.Conn{}}
}

type memoryListener struct {
	address string
	conns   chan net.Conn
	closed  chan struct{}
	once    sync.Once
	network *network
}

type memoryAddress string

func (memoryAddress) Network() string  { return "memory" }
func (a memoryAddress) String() string { return string(a) }

func (n *network) listen(address string) net.Listener {
	l := &memoryListener{address: address, conns: make(chan net.Conn), closed: make(chan struct{}), network: n}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[address] = l
	return l
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	l.network.mu.Lock()
	defer l.network.mu.Unlock()
	if l.network.listeners[l.address] == l {
		delete(l.network.listeners, l.address)
	}
	return nil
}

func (l *memoryListener) Addr() net.Addr { return memoryAddress(l.address) }

// dialTimeout is how long a dial across a partition takes to fail.
const dialTimeout = 1 * time.Second

var errDialTimeout = errors.New("dial timed out")

// dial returns the dial function of a machine.
func (n *network) dial(from string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		n.mu.Lock()
		partitioned := n.partitions[route{from, address}] || n.partitions[route{"", address}]
		l := n.listeners[address]
		n.mu.Unlock()
		dialError := func(err error) error {
			return &net.OpError{Op: "dial", Net: "memory", Addr: memoryAddress(address), Err: err}
		}
		if partitioned {
			select {
			case <-ctx.Done():
				return nil, dialError(ctx.Err())
			case <-time.After(dialTimeout):
				return nil, dialError(errDialTimeout)
			}
		}
		if l == nil {
			return nil, dialError(errors.New("connection refused"))
		}
		client, server := net.Pipe()
		select {
		case l.conns <- server:
		case <-l.closed:
			return nil, dialError(errors.New("connection refused"))
		case <-ctx.Done():
			return nil, dialError(ctx.Err())
		}
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns[route{from, address}] = append(n.conns[route{from, address}], client)
		return client, nil
	}
}

// partition closes and prevents connections from a machine, or from all machines if from is
// empty, to an address.
func (n *network) partition(from, to string) {
	n.mu.Lock()
	n.partitions[route{from, to}] = true
	var broken []net.Conn
	for r, conns := range n.conns {
		if (from == "" || r.from == from) && r.to == to {
			broken = append(broken, conns...)
			delete(n.conns, r)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close() // never fails for a pipe
	}
}

// heal removes a partition.
func (n *network) heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, route{from, to})
}

// closeConns closes all connections that a machine has opened.
func (n *network) closeConns(from string) {
	n.mu.Lock()
	var broken []net.Conn
	for r, conns := range n.conns {
		if r.from == from {
			broken = append(broken, conns...)
			delete(n.conns, r)
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close() // never fails for a pipe
	}
}
