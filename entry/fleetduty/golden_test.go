package fleetduty

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/layout"
)

// TestDutyKeepsItsKey guards against a renamed duty, which instances of two versions would
// both hold. The key is that of commit 81f8b51.
func TestDutyKeepsItsKey(t *testing.T) {
	assert.Equal(t, layout.OwnerKey(layout.FleetDuty), "owners/fleet")
}
