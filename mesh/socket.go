package mesh

import (
	"fmt"
	"net"

	"github.com/quic-go/quic-go"
)

// packetBytes is the size in bytes of the packets into which the kernel splits a large write.
const packetBytes = 1252

// socket is a UDP socket that counts the packets and bytes that it sends.
type socket struct {
	*net.UDPConn
	sent *counter
}

func (n *Node) listenUDP(address *net.UDPAddr) (*socket, error) {
	conn, err := net.ListenUDP("udp", address)
	if err != nil {
		return nil, fmt.Errorf("mesh socket on %s: %w", address, err)
	}
	return &socket{UDPConn: conn, sent: &n.packets}, nil
}

// WriteMsgUDP sends one packet, or several of equal size in one system call.
func (s *socket) WriteMsgUDP(b, oob []byte, addr *net.UDPAddr) (written, oobWritten int, err error) {
	s.count(len(b))
	return s.UDPConn.WriteMsgUDP(b, oob, addr)
}

// WriteTo sends one packet.
func (s *socket) WriteTo(b []byte, addr net.Addr) (int, error) {
	s.count(len(b))
	return s.UDPConn.WriteTo(b, addr)
}

func (s *socket) count(bytes int) {
	packets := max((bytes+packetBytes-1)/packetBytes, 1)
	s.sent.messages.Add(int64(packets))
	s.sent.bytes.Add(int64(bytes))
}

// closeTransport closes a transport and its socket, which the transport does not close itself.
func closeTransport(transport *quic.Transport) {
	transport.Close()
	transport.Conn.Close()
}

// PacketsSent returns the number of UDP packets sent so far and their total size in
// bytes, without IP and UDP headers.
func (n *Node) PacketsSent() Count {
	return Count{Messages: n.packets.messages.Load(), Bytes: n.packets.bytes.Load()}
}
