package rounds

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// fakeTerm is active until its end.
type fakeTerm struct{ end time.Time }

func (fakeTerm) Epoch() int64   { return 1 }
func (f fakeTerm) Active() bool { return time.Now().Before(f.end) }

var errReconcile = errors.New("reconciliation failed")

func TestLoopReconcilesUntilTheTermEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		results := []error{nil, errReconcile, errReconcile, nil, nil}
		calls := 0
		var changes []error
		loop := Loop{
			Interval: time.Second,
			Reconcile: func(context.Context, Term) error {
				calls++
				return results[calls-1]
			},
			Changed: func(err error) { changes = append(changes, err) },
		}
		term := fakeTerm{time.Now().Add(4500 * time.Millisecond)}
		assert.NilError(t, loop.Run(t.Context(), term))
		assert.Equal(t, calls, 5)
		assert.Equal(t, len(changes), 2)
		assert.ErrorIs(t, changes[0], errReconcile)
		assert.NilError(t, changes[1])
	})
}

func TestLoopEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
		defer cancel()
		calls := 0
		loop := Loop{
			Interval: time.Second,
			Reconcile: func(context.Context, Term) error {
				calls++
				return nil
			},
			Changed: func(error) { t.Error("Changed called though no reconciliation failed") },
		}
		assert.ErrorIs(t, loop.Run(ctx, fakeTerm{time.Now().Add(time.Hour)}), context.DeadlineExceeded)
		assert.Equal(t, calls, 2)
	})
}
