package mesh

import (
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// middlebox forwards datagrams between the dialers and one node. It can drop its current
// flows for good, while it forwards new ones.
type middlebox struct {
	front  *net.UDPConn
	target *net.UDPAddr
	mu     sync.Mutex
	flows  map[string]*net.UDPConn // by the dialer's address; nil for a dropped flow
}

func newMiddlebox(t *testing.T, target string) *middlebox {
	front, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	address, err := net.ResolveUDPAddr("udp", target)
	assert.NilError(t, err)
	m := &middlebox{front: front, target: address, flows: make(map[string]*net.UDPConn)}
	done := make(chan struct{})
	go func() { defer close(done); m.forward() }()
	t.Cleanup(func() {
		front.Close()
		<-done
		m.dropFlows()
	})
	return m
}

func (m *middlebox) address() string { return m.front.LocalAddr().String() }

func (m *middlebox) forward() {
	buffer := make([]byte, 2048)
	for {
		n, from, err := m.front.ReadFromUDP(buffer)
		if err != nil {
			return
		}
		if upstream := m.flow(from); upstream != nil {
			upstream.Write(buffer[:n])
		}
	}
}

func (m *middlebox) flow(from *net.UDPAddr) *net.UDPConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	upstream, known := m.flows[from.String()]
	if known {
		return upstream
	}
	upstream, err := net.DialUDP("udp", nil, m.target)
	if err != nil {
		return nil
	}
	m.flows[from.String()] = upstream
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := upstream.Read(buffer)
			if err != nil {
				return
			}
			m.front.WriteToUDP(buffer[:n], from)
		}
	}()
	return upstream
}

// dropFlows drops all flows for good and returns their number.
func (m *middlebox) dropFlows() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	dropped := 0
	for from, upstream := range m.flows {
		if upstream != nil {
			upstream.Close()
			m.flows[from] = nil
			dropped++
		}
	}
	return dropped
}
