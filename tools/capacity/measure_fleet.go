package main

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/tarragonreach/tarragonreach/api/fleet"
	"github.com/tarragonreach/tarragonreach/api/label"
	"github.com/tarragonreach/tarragonreach/api/object"
	"github.com/tarragonreach/tarragonreach/entry/directory"
	"github.com/tarragonreach/tarragonreach/entry/fleetview"
	"github.com/tarragonreach/tarragonreach/platform"
	"github.com/tarragonreach/tarragonreach/policy/routing"
)

const (
	instancesToday  = 100 // backend servers and workers of one organisation
	instancesTarget = 3100
	pools           = 28
	rackSize        = 4
)

func instanceAt(i int) fleet.Instance {
	return fleet.Instance{
		ID:      fleet.InstanceID(fmt.Sprintf("worker-%05d", i)),
		Kind:    fleet.KindWorker,
		Zone:    fleet.AvailabilityZone(fmt.Sprintf("zone-%02d", i%zones)),
		Rack:    fmt.Sprintf("rack-%04d", i/rackSize),
		Address: fmt.Sprintf("10.%d.%d.%d:8443", i>>16, i>>8&255, i&255),
		Labels: label.Set{
			fleet.LabelPool: fmt.Sprintf("pool-%02d", i%pools),
		},
		Capacity: fleet.Resources{MilliCPU: 64_000, MemoryMiB: 131_072, Accelerators: 1},
	}
}

func recordAt(i int) fleet.Record {
	return fleet.Record{
		ID:             fleet.InstanceID(fmt.Sprintf("worker-%05d", i)),
		Pool:           fmt.Sprintf("pool-%02d", i%pools),
		State:          fleet.StateServing,
		Reason:         "assigned to the pool with the largest need",
		Epoch:          int64(i),
		Since:          time.Unix(1_700_000_000+int64(i), 0).UTC(),
		LastMaintained: time.Unix(1_690_000_000+int64(i), 0).UTC(),
	}
}

// fleetMeasurement measures the encoded size of the fleet record and of its largest
// page, and the memory of a view that holds the record.
func fleetMeasurement() measurement {
	series := func(name, unit string) Series {
		return Series{Name: name, Role: "fleet record", Unit: unit, Per: "instances", Today: instancesToday, Target: instancesTarget}
	}
	return measurement{
		sizes:   []int{100, 400, 1600, 3100, 6200},
		series:  []Series{series("record-bytes", "B"), series("record-largest-page", "B"), series("record-memory", "KiB")},
		measure: measureFleet,
	}
}

func measureFleet(size int) ([]float64, error) {
	pages := make(map[string]fleet.Page)
	for i := range size {
		record := recordAt(i)
		key := fleet.PageKey(instanceAt(i).Zone, record.ID)
		pages[key] = pages[key].With(record)
	}
	before := heapBytes()
	view := fleetview.New()
	total, largest := 0, 0
	for key, page := range pages {
		body, err := json.Marshal(page)
		if err != nil {
			return nil, err
		}
		total += len(body)
		largest = max(largest, len(body))
		if err := view.Put(platform.Entry{Key: key, Value: body, Revision: 1}); err != nil {
			return nil, err
		}
	}
	heapGrowth := heapBytes() - before
	runtime.KeepAlive(view)
	runtime.KeepAlive(pages)
	return []float64{float64(total), float64(largest), heapGrowth / kib}, nil
}

// listMeasurement measures a poll that finds the platform's list changed: the size of
// the compressed list and the time to decompress and decode it.
func listMeasurement() measurement {
	series := func(name, unit string) Series {
		return Series{Name: name, Role: "instance list", Unit: unit, Per: "instances", Today: instancesToday, Target: instancesTarget}
	}
	return measurement{
		sizes:   []int{100, 400, 1600, 3100, 6200},
		series:  []Series{series("list-bytes", "B/poll"), series("list-read", "ms/poll")},
		measure: measureList,
	}
}

func measureList(size int) ([]float64, error) {
	body, err := json.Marshal(instances(size))
	if err != nil {
		return nil, err
	}
	compressed, err := compress(body)
	if err != nil {
		return nil, err
	}
	var readErr error
	read := fastest(func() { readErr = readList(compressed) })
	return []float64{float64(len(compressed)), read / microsPerMilli}, readErr
}

func compress(body []byte) ([]byte, error) {
	out := &bytes.Buffer{}
	w := gzip.NewWriter(out)
	if _, err := w.Write(body); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func readList(compressed []byte) error {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return err
	}
	var list []fleet.Instance
	return json.NewDecoder(r).Decode(&list)
}

func instances(size int) []fleet.Instance {
	list := make([]fleet.Instance, size)
	for i := range list {
		list[i] = instanceAt(i)
	}
	return list
}

// staticList is a platform list that does not change.
type staticList []fleet.Instance

// Instances implements platform.InstanceList.
func (l staticList) Instances(context.Context) ([]fleet.Instance, error) { return l, nil }

// directoryMeasurement measures the time to build the snapshot of the request path from
// the list, and the memory of the directory.
func directoryMeasurement() measurement {
	series := func(name, unit string) Series {
		return Series{Name: name, Role: "gateway", Unit: unit, Per: "instances", Today: instancesToday, Target: instancesTarget}
	}
	return measurement{
		sizes:   []int{100, 400, 1600, 3100, 6200},
		series:  []Series{series("directory-swap", "µs"), series("directory-memory", "KiB")},
		measure: measureDirectory,
	}
}

func measureDirectory(size int) ([]float64, error) {
	list := instances(size)
	for i := range list {
		list[i].Kind = fleet.KindBackendServer
	}
	configs := [2]*object.Config{serviceConfig(1), serviceConfig(2)}
	before := heapBytes()
	d := directory.New(directory.Options{List: staticList(list)})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if err := d.Run(ctx); err != nil && ctx.Err() == nil {
		return nil, err
	}
	round := 0
	swap := fastest(func() {
		d.SetConfig(configs[round%2])
		round++
	})
	heapGrowth := heapBytes() - before
	if len(d.Snapshot().Services) != pools {
		return nil, fmt.Errorf("%d services in the snapshot", len(d.Snapshot().Services))
	}
	runtime.KeepAlive(configs)
	return []float64{swap, heapGrowth / kib}, nil
}

// serviceConfig returns a configuration with one service for each pool.
func serviceConfig(revision object.Revision) *object.Config {
	config := &object.Config{Revision: revision, Services: map[string]object.Versioned[object.Service]{}}
	for i := range pools {
		name := fmt.Sprintf("service-%02d", i)
		spec := object.Service{Name: name, Selector: fmt.Sprintf("pool=pool-%02d", i), Slots: 8 + int(revision), Connections: 64}
		config.Services[name] = object.Versioned[object.Service]{Spec: spec, Revision: revision}
	}
	return config
}

// summaryMeasurement measures the encoded size of the load summary that an entry
// instance sends to its linked peers.
func summaryMeasurement() measurement {
	return measurement{
		sizes: []int{5, 10, 20, 40, 80},
		series: []Series{{
			Name: "summary-bytes", Role: "load summaries", Unit: "B", Per: "services",
			Today: 5, Target: pools,
		}},
		measure: func(size int) ([]float64, error) {
			loads := make([]routing.ServiceLoad, size)
			for i := range loads {
				loads[i] = routing.ServiceLoad{Service: fmt.Sprintf("service-%02d", i), Demand: 100 + i}
			}
			body, err := cbor.Marshal(loads)
			return []float64{float64(len(body))}, err
		},
	}
}
