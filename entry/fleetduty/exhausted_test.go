package fleetduty

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/layout"
)

// A statement about a service that has machines again must be removed: until it expires, its owner
// would reject jobs that could be served.
func TestStatementsAboutServicesThatHaveMachinesAgainAreRemoved(t *testing.T) {
	txn, err := exhaustedTxn([]cluster.Service{"b", "c"}, []cluster.Service{"a", "b"})
	assert.NilError(t, err)
	assert.Equal(t, len(txn.Puts), 2)
	assert.Equal(t, txn.Puts[0].Key, layout.ExhaustedKey("b"))
	assert.DeepEqual(t, txn.Deletes, []string{layout.ExhaustedKey("a")})
}
