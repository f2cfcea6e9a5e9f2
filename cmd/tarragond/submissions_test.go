package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/header"
	"github.com/tarragonreach/tarragonreach/entry/gateway"
	"github.com/tarragonreach/tarragonreach/platform/memory"
)

const submissions = 8

// newServingSite starts entry instances and waits until all are ready with the first
// configuration.
func newServingSite(t *testing.T, entries int) *site {
	t.Helper()
	s := newSite(t)
	for i := range entries {
		s.start(fmt.Sprintf("pa-%d", i))
	}
	s.apply(s.entries[0], firstDocument)
	s.await("all to be ready", func() bool { return s.allReady(1, entries-1) })
	return s
}

// ticket requests a ticket from an entry instance.
func (e *entry) ticket(t *testing.T) string {
	t.Helper()
	got := e.send(t, http.MethodPost, "/v1/tickets")
	assert.Equal(t, got.code, http.StatusCreated, got.body)
	var minted gateway.Ticket
	assert.NilError(t, json.Unmarshal([]byte(got.body), &minted))
	return minted.Ticket
}

func TestOwnKeySentToTwoEntryInstancesRunsOnce(t *testing.T) {
	t.Parallel()
	s := newServingSite(t, 2)
	for i := range submissions {
		key := fmt.Sprintf("dossier-%d", i)
		first := sendToAll(t, s.entries, http.MethodPost, "/s/terreni/order", header.IdempotencyKey, key)
		assert.Equal(t, s.server.KeyRuns(key), 1, "%s: %v", key, first)
		again := sendToAll(t, s.entries, http.MethodPost, "/s/terreni/order",
			header.IdempotencyKey, key, header.Attempt, "2")
		assert.Equal(t, s.server.KeyRuns(key), 1, "%s: %v", key, again)
		for _, got := range append(first, again...) {
			assert.Assert(t, got.verdict != "not-run", "%s: %v", key, got)
		}
	}
}

func TestTicketRunsOnceAndOnlyWhileItsMinterIsReachable(t *testing.T) {
	t.Parallel()
	s := newServingSite(t, 3)
	minter, others := s.entries[0], s.entries[1:]
	var used []string
	for range submissions {
		key := minter.ticket(t)
		used = append(used, key)
		for attempt := range 2 {
			responses := sendToAll(t, s.entries, http.MethodPost, "/s/terreni/order",
				header.IdempotencyKey, key, header.Attempt, fmt.Sprint(attempt+1))
			assert.Equal(t, s.server.KeyRuns(key), 1, "%v", responses)
		}
	}
	unused := minter.ticket(t)
	assert.NilError(t, minter.command.Process.Kill())
	<-minter.exited
	for _, got := range sendToAll(t, others, http.MethodPost, "/s/terreni/order", header.IdempotencyKey, unused) {
		assert.Assert(t, got.code >= http.StatusBadRequest, "%v", got)
	}
	assert.Equal(t, s.server.KeyRuns(unused), 0)
	for _, key := range used {
		for _, got := range sendToAll(t, others, http.MethodPost, "/s/terreni/order",
			header.IdempotencyKey, key, header.Attempt, "3") {
			assert.Assert(t, got.verdict != "not-run", "the submission of the ticket ran: %v", got)
		}
		assert.Equal(t, s.server.KeyRuns(key), 1)
	}
}

// TestStoreOutageRefusesOwnKeysAndServesTickets makes the platform unavailable. Keys
// chosen by callers need a claim in the store and are refused; tickets don't need it.
func TestStoreOutageRefusesOwnKeysAndServesTickets(t *testing.T) {
	t.Parallel()
	s := newServingSite(t, 2)
	s.platform.SetFaults(memory.Faults{Down: true})
	for i := range submissions {
		key := fmt.Sprintf("dossier-%d", i)
		for _, got := range sendToAll(t, s.entries, http.MethodPost, "/s/terreni/order", header.IdempotencyKey, key) {
			assert.Equal(t, got.code, http.StatusServiceUnavailable, "%v", got)
		}
		assert.Equal(t, s.server.KeyRuns(key), 0)
		ticket := s.entries[i%2].ticket(t)
		responses := sendToAll(t, s.entries, http.MethodPost, "/s/terreni/order", header.IdempotencyKey, ticket)
		assert.Equal(t, s.server.KeyRuns(ticket), 1, "%v", responses)
	}
}

// TestLostClaimResponsesRunAtMostOnce sends keyed submissions while the store loses
// half of the responses to claims that took effect.
func TestLostClaimResponsesRunAtMostOnce(t *testing.T) {
	t.Parallel()
	s := newServingSite(t, 2)
	s.platform.SetFaults(memory.Faults{LostResponsePercent: 50})
	ran := 0
	for i := range submissions {
		key := fmt.Sprintf("dossier-%d", i)
		for attempt := range 3 {
			responses := sendToAll(t, s.entries, http.MethodPost, "/s/terreni/order",
				header.IdempotencyKey, key, header.Attempt, fmt.Sprint(attempt+1))
			assert.Assert(t, s.server.KeyRuns(key) <= 1, "%s: %v", key, responses)
		}
		ran += s.server.KeyRuns(key)
	}
	assert.Assert(t, ran > 0, "every submission was refused")
}
