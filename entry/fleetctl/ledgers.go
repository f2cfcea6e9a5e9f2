package fleetctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/platform"
)

// ledgerEntry is a ledger with the store revision at which it was read; the revision
// is zero if the key does not exist.
type ledgerEntry struct {
	ledger   fleet.Ledger
	revision platform.Revision
}

// ledgers reads and swaps the ledgers of pools. Its cache may be outdated; a swap
// based on an outdated entry fails.
type ledgers struct {
	store platform.Store
	cache map[string]ledgerEntry
}

func newLedgers(store platform.Store) *ledgers {
	return &ledgers{store: store, cache: make(map[string]ledgerEntry)}
}

// cached returns the cached ledger and reads it from the store if there is none.
func (l *ledgers) cached(ctx context.Context, pool string) (ledgerEntry, error) {
	if entry, found := l.cache[pool]; found {
		return entry, nil
	}
	return l.read(ctx, pool)
}

// read returns the ledger from the store and caches it.
func (l *ledgers) read(ctx context.Context, pool string) (ledgerEntry, error) {
	stored, err := l.store.Get(ctx, fleet.LedgerKey(pool))
	if errors.Is(err, platform.ErrNotFound) {
		l.cache[pool] = ledgerEntry{}
		return ledgerEntry{}, nil
	}
	if err != nil {
		return ledgerEntry{}, fmt.Errorf("read the ledger of pool %s: %w", pool, err)
	}
	entry := ledgerEntry{revision: stored.Revision}
	if err := json.Unmarshal(stored.Value, &entry.ledger); err != nil {
		return ledgerEntry{}, fmt.Errorf("read the ledger of pool %s: %w", pool, err)
	}
	l.cache[pool] = entry
	return entry, nil
}

// swap replaces the ledger if the store still holds old. After any error the cache
// entry is dropped, since the write may have taken effect.
func (l *ledgers) swap(ctx context.Context, pool string, old ledgerEntry, next fleet.Ledger) error {
	value, err := json.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode the ledger of pool %s: %w", pool, err)
	}
	revision, err := put(ctx, l.store, fleet.LedgerKey(pool), value, old.revision)
	if err != nil {
		delete(l.cache, pool)
		return fmt.Errorf("write the ledger of pool %s: %w", pool, err)
	}
	l.cache[pool] = ledgerEntry{ledger: next, revision: revision}
	return nil
}

// put creates the key if prev is zero and otherwise swaps it.
func put(ctx context.Context, store platform.Store, key string, value []byte, prev platform.Revision) (platform.Revision, error) {
	if prev == 0 {
		return store.Create(ctx, key, value, 0)
	}
	return store.Swap(ctx, key, value, prev, 0)
}

// isConflict reports whether a write had no effect because another write came first.
func isConflict(err error) bool {
	return errors.Is(err, platform.ErrConflict) || errors.Is(err, platform.ErrExists)
}
