package fleetview

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "github.com/tarragonreach/tarragonreach/api/rapidseed"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/mesh"
	"github.com/tarragonreach/tarragonreach/platform"
)

// event returns the write of a page of zone "x" that holds one record.
func event(page int, revision platform.Revision) platform.Event {
	record := fleet.Record{ID: fleet.InstanceID(fmt.Sprint(page)), Epoch: int64(revision)}
	value, err := json.Marshal(fleet.Page{Records: []fleet.Record{record}})
	if err != nil {
		panic(err)
	}
	return platform.Event{Entry: platform.Entry{Key: fmt.Sprintf("fleet/x/%02d", page), Value: value, Revision: revision}}
}

func TestOlderAndMalformedPagesAreNotStored(t *testing.T) {
	v := New()
	assert.NilError(t, v.Put(event(1, 7).Entry))
	assert.NilError(t, v.Put(event(1, 5).Entry))
	assert.Equal(t, v.Snapshot().Page("fleet/x/01").Revision, platform.Revision(7))
	assert.Equal(t, len(v.Digest()), 0, "a single page doesn't raise the zone's version")
	assert.ErrorContains(t, v.Put(platform.Entry{Key: "fleet/x"}), "want fleet/")
	assert.ErrorContains(t, v.Put(platform.Entry{Key: "fleet/x/1", Value: []byte("[")}), "unexpected end")
	assert.ErrorContains(t, v.Merge(context.Background(), []mesh.Document{{Key: "fleet/x/1", Body: []byte{0xff}}}), "from a peer")
}

func TestFindReturnsTheRecordOfTheInstance(t *testing.T) {
	v := New()
	page, err := json.Marshal(fleet.Page{Records: []fleet.Record{{ID: "i1", Pool: "a"}}})
	assert.NilError(t, err)
	assert.NilError(t, v.Put(platform.Entry{Key: fleet.PageKey("x", "i1"), Value: page, Revision: 1}))
	record, zone, found := v.Snapshot().Find("i1")
	assert.Equal(t, found, true)
	assert.Equal(t, zone, fleet.AvailabilityZone("x"))
	assert.Equal(t, record.Pool, "a")
	_, _, found = v.Snapshot().Find("i2")
	assert.Equal(t, found, false)
}

// TestReplicasConverge replicates random batches of pages between views, in any order,
// and checks that a view holds all pages up to the version that it claims.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		views := []*View{New(), New(), New()}
		latest := make(map[string]platform.Revision)
		var revision platform.Revision
		var delayed [][]mesh.Document
		check := func() {
			for _, v := range views {
				claimed := v.Snapshot().Version("x")
				for key, written := range latest {
					if held := v.Snapshot().Page(key).Revision; written <= claimed && held < written {
						rt.Fatalf("claims %d, but holds %s at %d of %d", claimed, key, held, written)
					}
				}
			}
		}
		replicate := func(from, to *View, bytes int) bool {
			documents := from.Read("fleet/x", int64(to.Snapshot().Version("x")), bytes)
			assert.NilError(t, to.Merge(context.Background(), documents))
			return len(documents) > 0
		}
		rt.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				revision++
				e := event(rapid.IntRange(0, 5).Draw(t, "page"), revision)
				latest[e.Entry.Key] = revision
				views[0].apply(platform.Events{Events: []platform.Event{e}})
			},
			"writeElsewhere": func(t *rapid.T) {
				e := event(rapid.IntRange(0, 5).Draw(t, "page"), revision+1)
				if rapid.Bool().Draw(t, "written by another instance") {
					revision++
					latest[e.Entry.Key] = revision
					assert.NilError(rt, views[2].Put(e.Entry))
					views[0].apply(platform.Events{Events: []platform.Event{e}})
				}
			},
			"replicate": func(t *rapid.T) {
				from, to := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
				replicate(views[from], views[to], rapid.IntRange(1, 500).Draw(t, "bytes"))
			},
			"delay": func(t *rapid.T) {
				after := rapid.Int64Range(0, int64(revision)).Draw(t, "after")
				delayed = append(delayed, views[0].Read("fleet/x", after, 300))
			},
			"deliver": func(t *rapid.T) {
				if len(delayed) > 0 {
					documents := rapid.SampledFrom(delayed).Draw(t, "documents")
					assert.NilError(rt, views[rapid.IntRange(1, 2).Draw(t, "to")].Merge(context.Background(), documents))
				}
			},
			"": func(*rapid.T) { check() },
		})
		for range 100 {
			if !replicate(views[0], views[1], 100) {
				break
			}
		}
		if views[1].Snapshot().Version("x") != revision {
			rt.Fatalf("holds version %d of %d", views[1].Snapshot().Version("x"), revision)
		}
	})
}

func TestUnreadablePagesAreLogged(t *testing.T) {
	var log bytes.Buffer
	unreadable := platform.Entry{Key: fleet.PagePrefix + "a/0", Value: []byte("{"), Revision: 1}
	views := []*View{New(), New(WithLogger(nil)), New(WithLogger(slog.New(slog.NewTextHandler(&log, nil))))}
	for _, view := range views {
		assert.Equal(t, len(view.parseAll([]platform.Entry{unreadable})), 0)
	}
	assert.Equal(t, strings.Count(log.String(), "unreadable page"), 1)
}
