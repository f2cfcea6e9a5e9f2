package engine

import (
	"slices"
	"time"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

const (
	// maxIsolatedDials is the number of addresses that an instance without any link
	// dials at the same time.
	maxIsolatedDials = 4
	// newAddressesPerProbeInterval is the number of addresses without an earlier attempt that are
	// dialed per ProbeInterval.
	newAddressesPerProbeInterval = 4
)

// dialState is the history of attempts to reach one address.
type dialState struct {
	inProgress  bool
	failures    int
	nextAttempt time.Time
	// lastAttempt is the time of the last attempt, zero if there was none.
	lastAttempt time.Time
	// peer is the instance last reached at the address.
	peer fleet.InstanceID
}

// DialFailed reports that no connection could be opened to an address.
func (e *Engine) DialFailed(address string, now time.Time) {
	e.endAttempt(address, "", now)
}

// PeerReached reports that an attempt reached a peer to which no further connection is
// needed, such as the instance itself.
func (e *Engine) PeerReached(address string, peer fleet.InstanceID, now time.Time) {
	e.endAttempt(address, peer, now)
}

// endAttempt ends an attempt and counts it as failed until the peer's Hello arrives,
// since a peer may refuse a connection after the handshake.
func (e *Engine) endAttempt(address string, peer fleet.InstanceID, now time.Time) {
	state := e.dials[address]
	if state == nil {
		state = &dialState{}
		e.dials[address] = state
	}
	state.inProgress = false
	state.peer = peer
	state.failures++
	state.nextAttempt = now.Add(e.backoff(state.failures))
}

// resetBackoff lets an address be dialed at once.
func (e *Engine) resetBackoff(address string) {
	state := e.dials[address]
	if state == nil {
		return
	}
	state.failures = 0
	state.nextAttempt = time.Time{}
}

// backoff returns the delay before the next attempt. It doubles with each failure from
// DialMin to DialMax; half of it is random.
func (e *Engine) backoff(failures int) time.Duration {
	limit := e.timing.DialMin
	for range failures {
		limit = min(2*limit, e.timing.DialMax)
	}
	return limit/2 + e.jitter(limit/2)
}

// jitter returns a random duration from zero to the limit.
func (e *Engine) jitter(limit time.Duration) time.Duration {
	return time.Duration(e.random.Int64N(int64(limit) + 1))
}

// dial opens connections to wanted peers and probes addresses without a reachable member.
func (e *Engine) dial(now time.Time) {
	e.dialWantedPeers(now)
	e.probeUnreachable(now)
	e.pruneDials(now)
}

func (e *Engine) dialWantedPeers(now time.Time) {
	for _, record := range e.members.present() {
		if !e.wantedPeers[record.ID] || e.links[record.ID] != nil {
			continue
		}
		if e.members.self > record.ID {
			e.waitForPeer(record.ID, record.Address, now)
		}
		e.dialAddress(record.Address, now)
	}
}

// waitForPeer delays this instance's attempt by one heartbeat interval, so that the peer
// with the lower ID dials first and the two rarely open a connection each.
func (e *Engine) waitForPeer(peer fleet.InstanceID, address string, now time.Time) {
	state := e.dials[address]
	if state != nil && (state.inProgress || state.peer != peer) {
		return
	}
	if state == nil {
		state = &dialState{}
		e.dials[address] = state
	}
	state.peer = ""
	state.failures = 0
	state.nextAttempt = now.Add(e.timing.HeartbeatInterval)
}

// probeUnreachable dials addresses without a reachable member: several at a time while
// the instance has no link, otherwise the least recently dialed one at each probe. This
// heals a partition.
func (e *Engine) probeUnreachable(now time.Time) {
	isolated := len(e.links) == 0
	if !isolated && now.Before(e.nextProbe) {
		return
	}
	addresses := e.probeAddresses()
	e.random.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	if isolated {
		e.dialUpToLimit(addresses, now)
		return
	}
	e.nextProbe = now.Add(e.probeDelay())
	if len(addresses) > 0 {
		e.dialLeastRecent(addresses, now)
	}
}

// dialLeastRecent dials the address with the oldest last attempt. If that address had no
// attempt yet, the next probe follows sooner.
func (e *Engine) dialLeastRecent(addresses []string, now time.Time) {
	slices.SortStableFunc(addresses, func(a, b string) int { return e.lastAttemptAt(a).Compare(e.lastAttemptAt(b)) })
	if e.lastAttemptAt(addresses[0]).IsZero() {
		e.nextProbe = now.Add(e.timing.ProbeInterval / newAddressesPerProbeInterval)
	}
	e.resetBackoff(addresses[0])
	e.dialAddress(addresses[0], now)
}

// probeDelay returns the random time until the next probe. It grows with the number of
// reachable members of the zone, so that the zone as a whole probes at a constant rate.
func (e *Engine) probeDelay() time.Duration {
	probers := time.Duration(e.reachableInLocalZone())
	return probers * (e.timing.ProbeInterval/2 + e.jitter(e.timing.ProbeInterval))
}

// lastAttemptAt returns the time of the last attempt to reach an address, zero if there
// was none.
func (e *Engine) lastAttemptAt(address string) time.Time {
	state := e.dials[address]
	if state == nil {
		return time.Time{}
	}
	return state.lastAttempt
}

func (e *Engine) dialUpToLimit(addresses []string, now time.Time) {
	inProgress := 0
	for _, state := range e.dials {
		if state.inProgress {
			inProgress++
		}
	}
	for _, address := range addresses {
		if inProgress >= maxIsolatedDials {
			return
		}
		if e.dialAddress(address, now) {
			inProgress++
		}
	}
}

// probeAddresses returns, sorted, the addresses of unreachable members and the seeds,
// without those at which a member is reachable.
func (e *Engine) probeAddresses() []string {
	reached := map[string]bool{e.members.own().Address: true}
	var addresses []string
	for _, record := range e.members.present() {
		if e.isReachable(record.ID) {
			reached[record.Address] = true
			continue
		}
		addresses = append(addresses, record.Address)
	}
	addresses = append(addresses, e.seeds...)
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool {
		return reached[address] || e.isPeerReachableAt(address)
	})
}

// isPeerReachableAt reports whether the instance last reached at an address is a
// reachable member, whatever address it publishes.
func (e *Engine) isPeerReachableAt(address string) bool {
	state := e.dials[address]
	if state == nil || state.peer == "" {
		return false
	}
	return e.isReachable(state.peer)
}

// dialAddress requests a connection unless an attempt is in progress or not due yet. It
// reports whether it did.
func (e *Engine) dialAddress(address string, now time.Time) bool {
	state := e.dials[address]
	if state == nil {
		state = &dialState{}
		e.dials[address] = state
	}
	if state.inProgress || now.Before(state.nextAttempt) {
		return false
	}
	state.inProgress = true
	state.lastAttempt = now
	e.actions = append(e.actions, Dial{Address: address})
	return true
}

// pruneDials removes the history of addresses that belong to no seed or member any more.
func (e *Engine) pruneDials(now time.Time) {
	if now.Before(e.nextPrune) {
		return
	}
	e.nextPrune = now.Add(e.timing.DialMax)
	used := make(map[string]bool)
	for _, address := range e.seeds {
		used[address] = true
	}
	for _, record := range e.members.present() {
		used[record.Address] = true
	}
	for address, state := range e.dials {
		if !state.inProgress && !used[address] && now.Sub(state.nextAttempt) > e.timing.DialMax {
			delete(e.dials, address)
		}
	}
}
