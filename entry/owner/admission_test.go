package owner

import (
	"log/slog"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// The admission is stored with its batch, in one entry, and nothing is stored without one.
func TestAdmissionIsStoredWithItsBatch(t *testing.T) {
	o := testOwner()
	o.Logger = slog.New(slog.DiscardHandler)
	for _, a := range []*shard.Admission{nil, {Token: 1, Sequence: 2, AtMs: 3}} {
		txn, err := o.encode(&shard.Batch{Admission: a})
		assert.NilError(t, err)
		var found []shard.Admission
		for _, p := range txn.Puts {
			if p.Key == layout.AdmissionKey(o.Service) {
				decoded, err := layout.Decode[shard.Admission](p.Key, p.Value)
				assert.NilError(t, err)
				found = append(found, decoded)
			}
		}
		if a == nil {
			assert.Equal(t, len(found), 0)
			continue
		}
		assert.DeepEqual(t, found, []shard.Admission{*a})
	}
}
