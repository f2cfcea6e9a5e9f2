package node

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/fleet"
)

// countingList counts the reads of a list.
type countingList struct {
	reads int
	err   error
}

func (c *countingList) Instances(context.Context) ([]fleet.Instance, error) {
	c.reads++
	return []fleet.Instance{{ID: "w-1"}}, c.err
}

func TestReadersShareOneListRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		source := &countingList{}
		list := newInstanceListCache(source, time.Second)
		for range 10 {
			instances, err := list.Instances(t.Context())
			assert.NilError(t, err)
			assert.Equal(t, len(instances), 1)
		}
		assert.Equal(t, source.reads, 1)
		time.Sleep(time.Second)
		source.err = errors.New("down")
		_, err := list.Instances(t.Context())
		assert.ErrorContains(t, err, "down")
		assert.Equal(t, len(list.Last()), 1, "the last list is kept")
	})
}
