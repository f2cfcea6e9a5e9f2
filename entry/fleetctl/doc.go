// Package fleetctl assigns instances to pools, drains and maintains them. The
// controller of an availability zone runs on the entry instance that holds the zone's
// duty. Each reconciliation reads a snapshot of the fleet record, decides with the
// policy packages, and applies each step by compare-and-swap. A step is safe however
// late its write arrives: the write fails if the page has changed, the controller
// stops if the page was written in a later term, and a budget grant is valid for one
// epoch of one record only.
//
// While the store is unavailable no write succeeds: no instance is drained or moved,
// and serving continues.
package fleetctl
