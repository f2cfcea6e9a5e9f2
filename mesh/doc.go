// Package mesh connects the entry instances of all availability zones over QUIC.
//
// A Node discovers the other instances, keeps links to some of them, distributes the
// documents of its replicas, and carries calls between any two instances. Package engine
// implements the protocol; Node adds the sockets and the clock.
package mesh
