// Package mesh connects the entry instances of all availability zones over QUIC.
//
// A Node finds the other instances, keeps links to some of them, spreads the
// documents of its replicas, and carries calls between any two instances. The
// protocol's decisions are in package engine; Node adds sockets and time.
package mesh
