package fleetduty

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/linkshare"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

func waveEvent(name, value string) kv.Event {
	return kv.Event{Item: kv.Item{Key: registry.WavePrefix + name, Value: []byte(value)}}
}

// An entry whose key and content name different waves takes the place of the operator's wave, or a wave
// is read from an entry without one: the operator's waves must hold, and no others.
func TestWaveOfAnotherKeyTakesNoWavesPlace(t *testing.T) {
	const sound = `{"wave":7,"machines":["m-1"],"duration-s":10,"max-count":2}`
	h := newTestHolder(newTestStore(t))
	odd := []kv.Event{
		waveEvent("1", `{"wave":7,"machines":["m-9"]}`), waveEvent("07", sound), waveEvent("7x", sound), waveEvent("", sound),
		waveEvent("+7", sound), waveEvent("-1", `{"wave":-1,"machines":["m-9"]}`), waveEvent("2", `{"machines":["m-9"]}`),
		waveEvent("3", `{}`), waveEvent("4", `null`), waveEvent("5", "\xff"), waveEvent("6", `{"wave":1e400}`),
		waveEvent("99999999999999999999", sound), waveEvent("8", strings.Repeat("[", 100_000)),
	}
	h.applyWaves(follow.Change{Reset: true, Events: odd})
	assert.Equal(t, len(h.waves), 0, "%v", h.waves)
	h.applyWaves(follow.Change{Events: []kv.Event{waveEvent("7", sound)}})
	want := map[int64]cluster.Wave{7: {Number: 7, Machines: []cluster.MachineID{"m-1"}, Duration: 10 * time.Second, MaxDown: 2}}
	assert.DeepEqual(t, h.waves, want)
	h.applyWaves(follow.Change{Events: []kv.Event{waveEvent("7", "{"), {Item: kv.Item{Key: registry.WavePrefix + "7"}, Removed: true}}})
	assert.DeepEqual(t, h.waves, want)
}

// The progress of a wave is stored under its number alone: an entry with another key must not mark the
// machines of a wave as maintained.
func TestProgressOfAnotherKeyIsNoWavesProgress(t *testing.T) {
	for key, readable := range map[string]bool{"waves/7": true, "waves/7x": false, "waves/07": false, "waves/7/8": false, "waves/ 7": false, "waves/": false} {
		store := newTestStore(t)
		store.standIn.Put(key, []byte(`{"done":["m-1"],"reported":"completed"}`))
		log := &bytes.Buffer{}
		h := newTestHolder(store)
		h.Logger = slog.New(slog.NewJSONHandler(log, nil))
		h.Config = func() *cluster.Config { return nil }
		assert.NilError(t, h.load(t.Context()))
		assert.Equal(t, !strings.Contains(log.String(), "wave progress skipped"), readable, key)
		if readable {
			assert.Equal(t, h.planner.WaveReported(7), cluster.WaveCompleted)
		}
	}
}

// Entries that can't be read stay in each listing: they must not fill the log, nor cost the others.
func TestEntriesThatCanNotBeReadDoNotFillTheLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := &bytes.Buffer{}
		logger := slog.New(slog.NewJSONHandler(log, nil))
		h := &Holder{waves: map[int64]cluster.Wave{}, loads: map[cluster.Service]shard.Load{}}
		h.Logger = logger
		h.skippedWaves, h.skippedLoads = follow.NewSkipped(logger, "waves skipped"), follow.NewSkipped(logger, "loads skipped")
		var waves, loads []kv.Event
		for i := range 20 {
			waves = append(waves, waveEvent(fmt.Sprint(i), "{"))
			loads = append(loads, kv.Event{Item: kv.Item{Key: layout.LoadKey(cluster.Service(fmt.Sprint("s-", i))), Value: []byte("[")}})
		}
		loads = append(loads, kv.Event{Item: kv.Item{Key: layout.LoadKey("terreni"), Value: []byte("{}")}})
		for range 100 {
			h.applyWaves(follow.Change{Reset: true, Events: waves})
			h.applyLoads(follow.Change{Reset: true, Events: loads})
			time.Sleep(time.Second)
		}
		assert.Equal(t, strings.Count(log.String(), "\n"), 2)
		assert.Equal(t, len(h.loads), 1)
	})
}

// A list with entries that can't be read must reach the planner, marked as incomplete, and the faults
// must be logged: once while they last.
func TestIncompleteMachineListIsPlannedFromAndLoggedOnce(t *testing.T) {
	var log bytes.Buffer
	h := newTestHolder(newTestStore(t))
	h.machineFaults = follow.NewSkipped(slog.New(slog.NewJSONHandler(&log, nil)), "machines")
	sound := cluster.Machine{ID: "m-1", State: cluster.MachineUp}
	odd := cluster.Machine{ID: "m-2", State: cluster.MachineDown, Fault: "labels can't be read"}
	service := h.Machines.(*fakeMachines)
	service.list = cluster.MachineList{Machines: []cluster.Machine{sound, odd}, Incomplete: errors.New("an entry names no machine")}
	for range 100 {
		h.refreshMachines(t.Context())
		(<-h.events)()
	}
	assert.Equal(t, len(h.listedMachines.Machines), 2)
	assert.Assert(t, h.listedMachines.Incomplete != nil)
	for _, fault := range []string{"labels can't be read", "an entry names no machine"} {
		assert.Equal(t, strings.Count(log.String(), fault), 1, log.String())
	}
	service.list = cluster.MachineList{Machines: []cluster.Machine{sound}}
	h.refreshMachines(t.Context())
	(<-h.events)()
	assert.Equal(t, h.machineFaults.Present(), 0)
}

// Guards against lists of machines that take most of a holder's slow link. A fast link leaves their rate as it is.
func TestMachineListTakesABoundedShareOfTheLink(t *testing.T) {
	for link, want := range map[linkshare.Rate]int{250_000: 10, 125_000_000: 40, 0: 40} {
		h := &Holder{Options: Options{Link: link}, listedMachines: cluster.MachineList{Bytes: 50_000}}
		lists := 0
		for tick := range 40 {
			if now := time.Unix(1000, 0).Add(time.Duration(tick) * listInterval); h.listDue(now) {
				h.requestedAt = now
				lists++
			}
		}
		assert.Equal(t, lists, want)
	}
}
