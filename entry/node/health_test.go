package node

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/gateway"
)

func TestExecutorIsUnhealthyOnlyAfterGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newExecutorHealth()
		_, known := h.Healthy("e-1")
		assert.Assert(t, !known)

		down := []gateway.ExecutorHealth{{ID: "e-1"}}
		h.observe(down, time.Now())
		time.Sleep(unhealthyAfter - time.Second)
		h.observe(down, time.Now())
		healthy, known := h.Healthy("e-1")
		assert.Assert(t, healthy && known)

		time.Sleep(time.Second)
		healthy, _ = h.Healthy("e-1")
		assert.Assert(t, !healthy)

		h.observe([]gateway.ExecutorHealth{{ID: "e-1", Healthy: true}}, time.Now())
		healthy, _ = h.Healthy("e-1")
		assert.Assert(t, healthy)
	})
}
