package duty

import (
	"context"
	"errors"
	"time"

	"github.com/tarragonreach/tarragonreach/api/verdict"
	"github.com/tarragonreach/tarragonreach/platform"
)

// CodeTermOver is the reason code of a write that was not made because the term
// is over.
const CodeTermOver verdict.Code = "duty-term-over"

// Fence returns a store for the holder of a term. Before each write it reads the duty's key,
// and refuses the write if the term is over by the clock or in the store. A Swap or Delete
// names a revision that was read before that check, so that it fails if a later holder has
// written in between. This holds even if the store ended the lease early.
//
// Create has no revision to check. The name of a key that a later holder may create and
// delete again must contain the epoch.
func Fence(store platform.Store, term Term) platform.Store {
	return &fenced{Store: store, term: term}
}

type fenced struct {
	platform.Store
	term Term
}

func (f *fenced) check(ctx context.Context) error {
	if !f.term.Valid(time.Now()) {
		return f.refusal(nil)
	}
	entry, err := f.Get(ctx, f.term.key)
	if errors.Is(err, platform.ErrNotFound) || (err == nil && int64(entry.Revision) != f.term.Epoch) {
		f.term.window.end()
		return f.refusal(err)
	}
	if err != nil {
		return f.refusal(err)
	}
	return nil
}

func (f *fenced) refusal(cause error) error {
	e := verdict.New(verdict.NotRun, CodeTermOver, "the term of duty "+f.term.Name+" is over or cannot be confirmed")
	e.Err = cause
	return e
}

// Create implements platform.Store.
func (f *fenced) Create(ctx context.Context, key string, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	if err := f.check(ctx); err != nil {
		return 0, err
	}
	return f.Store.Create(ctx, key, value, lease)
}

// Swap implements platform.Store.
func (f *fenced) Swap(ctx context.Context, key string, value []byte, prev platform.Revision, lease platform.LeaseID) (platform.Revision, error) {
	if err := f.check(ctx); err != nil {
		return 0, err
	}
	return f.Store.Swap(ctx, key, value, prev, lease)
}

// Delete implements platform.Store.
func (f *fenced) Delete(ctx context.Context, key string, prev platform.Revision) error {
	if err := f.check(ctx); err != nil {
		return err
	}
	return f.Store.Delete(ctx, key, prev)
}
