package fleetduty

import (
	"context"
	"fmt"
	"maps"
	"strconv"
	"strings"
	"time"

	"github.com/tarragonreach/tarragonreach/api/cluster"
	"github.com/tarragonreach/tarragonreach/entry/follow"
	"github.com/tarragonreach/tarragonreach/entry/layout"
	"github.com/tarragonreach/tarragonreach/platform/kv"
	"github.com/tarragonreach/tarragonreach/platform/registry"
	"github.com/tarragonreach/tarragonreach/policy/fleetplan"
	"github.com/tarragonreach/tarragonreach/policy/shard"
)

// load loads the state that earlier holders stored.
func (h *Holder) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	items, _, err := h.Store.All(ctx, layout.WavesPrefix, kv.Linearizable)
	if err != nil {
		return fmt.Errorf("list waves: %w", err)
	}
	for _, item := range items {
		number, err := waveNumber(item.Key, layout.WavesPrefix)
		if err != nil {
			h.Logger.Warn("wave progress skipped: key not readable", "key", item.Key, "error", err)
			continue
		}
		progress, err := layout.Decode[layout.WaveProgress](item.Key, item.Value)
		if err != nil {
			// Maintenance that has started is requested again, which has no effect.
			h.Logger.Error("wave progress skipped: not readable", "error", err)
			continue
		}
		h.planner.RestoreWave(number, progress.MaintenanceStarted, progress.Reported, progress.StartedAt)
	}
	if err := h.loadRecentCommands(ctx); err != nil {
		return err
	}
	if err := h.loadDemandHistory(ctx); err != nil {
		return err
	}
	cordons, err := h.loadCordons(ctx)
	h.cordons = cordons
	return err
}

func (h *Holder) loadCordons(ctx context.Context) (map[cluster.ExecutorID]fleetplan.ActiveCordon, error) {
	cordons := map[cluster.ExecutorID]fleetplan.ActiveCordon{}
	config := h.Config()
	if config == nil {
		return cordons, nil
	}
	for _, pool := range config.Pools {
		items, _, err := h.Store.All(ctx, layout.CordonsPrefix(pool.Service), kv.Linearizable)
		if err != nil {
			return cordons, fmt.Errorf("list cordons of %s: %w", pool.Service, err)
		}
		for _, item := range items {
			kind, executor := layout.ParseShardKey(pool.Service, item.Key)
			if kind != layout.ItemCordon {
				continue
			}
			cordon, err := layout.Decode[layout.Cordon](item.Key, item.Value)
			if err != nil {
				h.Logger.Error("cordon not readable", "error", err)
			}
			cordons[cluster.ExecutorID(executor)] = fleetplan.ActiveCordon{Service: pool.Service, ID: cordon.ID}
		}
	}
	return cordons, nil
}

// syncCordons reads the stored cordons in the background and adds those that this holder
// does not have; the planner then revokes them.
func (h *Holder) syncCordons(ctx context.Context) {
	h.cordonsReadAt = time.Now()
	writes := h.cordonWrites
	go func() {
		ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
		defer cancel()
		cordons, err := h.loadCordons(ctx)
		if err != nil {
			h.Logger.Warn("cordons not read", "error", err)
			return
		}
		h.send(func() { h.addCordons(cordons, writes) })
	}()
}

// addCordons adds cordons that were read. If this holder wrote cordons during the read, the
// result may be out of date, and they are read again soon.
func (h *Holder) addCordons(cordons map[cluster.ExecutorID]fleetplan.ActiveCordon, writes int) {
	if writes != h.cordonWrites {
		h.cordonsReadAt = time.Time{}
		return
	}
	maps.Copy(h.cordons, cordons)
}

func (h *Holder) follow(ctx context.Context) {
	waves := follow.Follower{Store: h.Store, Prefix: registry.WavePrefix, Logger: h.Logger, Apply: func(c follow.Change) {
		h.send(func() { h.applyWaves(c) })
	}}
	go waves.Run(ctx)
	loads := follow.Follower{Store: h.Store, Prefix: layout.LoadPrefix, Pause: loadPause, Wait: loadWait, Logger: h.Logger, Apply: func(c follow.Change) {
		h.send(func() { h.applyLoads(c) })
	}}
	go loads.Run(ctx)
}

// waveNumber returns the number of a wave by the key of an entry, without leading zeros or a sign.
func waveNumber(key, prefix string) (int64, error) {
	text := strings.TrimPrefix(key, prefix)
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || strconv.FormatInt(number, 10) != text || number < 0 {
		return 0, fmt.Errorf("key %q: want the number of a wave after %s", key, prefix)
	}
	return number, nil
}

// readWave decodes a wave that the operator requests. An entry whose key and content name different
// waves is not the operator's.
func readWave(item kv.Item) (cluster.Wave, error) {
	wave, err := registry.Wave(item.Value)
	if err != nil {
		return cluster.Wave{}, err
	}
	number, err := waveNumber(item.Key, registry.WavePrefix)
	if err == nil && wave.Number != number {
		err = fmt.Errorf("key %q: names wave %d", item.Key, wave.Number)
	}
	return wave, err
}

func (h *Holder) applyWaves(c follow.Change) {
	h.skippedWaves.Begin(c)
	defer h.skippedWaves.Log()
	for _, event := range c.Events {
		if event.Removed {
			continue
		}
		wave, err := readWave(event.Item)
		if err != nil {
			h.skippedWaves.Add(event.Key, err)
			continue
		}
		h.skippedWaves.Used(event.Key)
		if _, known := h.waves[wave.Number]; known {
			continue
		}
		h.waves[wave.Number] = wave
		h.Logger.Info("wave", "wave", wave.Number, "machines", len(wave.Machines), "max_down", wave.MaxDown, "duration", wave.Duration.String())
	}
}

func (h *Holder) applyLoads(c follow.Change) {
	h.loadsReadAt = time.Now()
	h.skippedLoads.Begin(c)
	defer h.skippedLoads.Log()
	for _, event := range c.Events {
		service := cluster.Service(strings.TrimPrefix(event.Key, layout.LoadPrefix))
		if event.Removed {
			delete(h.loads, service)
			continue
		}
		load, err := layout.DecodeCompressed[shard.Load](event.Key, event.Value)
		if err != nil {
			h.skippedLoads.Add(event.Key, err)
			continue
		}
		h.skippedLoads.Used(event.Key)
		h.loads[service] = load
	}
}
