// Package fleetctl carries out fleet decisions. The controller of an availability
// zone runs on the entry instance that holds the zone's duty. In each round it reads
// a snapshot of the fleet record, lets the policy packages decide, and applies each
// step by compare-and-swap. A step is safe however late its write arrives: a page
// that changed since refuses it, a page written under a later duty stops the
// controller, and a grant holds for one epoch of one record only.
//
// While the store is unavailable no write succeeds, so that nothing is disrupted
// and nothing moves; serving goes on.
package fleetctl
