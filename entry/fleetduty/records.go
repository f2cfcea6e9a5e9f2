package fleetduty

import (
	"context"
	"errors"
	"fmt"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
)

// read returns the stored value of a key and its revision, or zero values if the key does
// not exist. If the value is not readable, it returns an error and the revision.
func read[T any](ctx context.Context, s Store, key string) (value T, revision kv.Revision, err error) {
	item, err := s.Get(ctx, key)
	if errors.Is(err, kv.ErrNotFound) {
		return value, 0, nil
	}
	if err != nil {
		return value, 0, fmt.Errorf("read %s: %w", key, err)
	}
	value, err = layout.Decode[T](item.Key, item.Value)
	return value, item.Revision, err
}
