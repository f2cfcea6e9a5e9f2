package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// measurement yields one value for each of its series at every size.
type measurement struct {
	sizes   []int
	series  []Series // without points; one for each value of measure
	measure func(size int) ([]float64, error)
}

func measurements(quick bool) []measurement {
	all := []measurement{
		configMeasurement(),
		fleetMeasurement(),
		listMeasurement(),
		directoryMeasurement(),
		planMeasurement(),
		placementMeasurement(),
		summaryMeasurement(),
		meshMeasurement(),
	}
	if quick {
		for i := range all {
			all[i].sizes = all[i].sizes[:2]
		}
	}
	return all
}

func measureAll(quick bool) (Report, error) {
	report := newReport()
	for _, m := range measurements(quick) {
		series, err := m.run()
		if err != nil {
			return report, err
		}
		report.Series = append(report.Series, series...)
	}
	return report, nil
}

func (m measurement) run() ([]Series, error) {
	series := append([]Series(nil), m.series...)
	for _, size := range m.sizes {
		values, err := m.measure(size)
		if err != nil {
			return nil, fmt.Errorf("measure %s at %d: %w", series[0].Name, size, err)
		}
		for i, value := range values {
			series[i].Points = append(series[i].Points, Point{Size: float64(size), Value: value})
			fmt.Fprintf(os.Stderr, "%-28s n=%-6d %12.2f %s\n", series[i].Name, size, value, series[i].Unit)
		}
	}
	for i := range series {
		series[i].Fit = fitLine(series[i].Points)
	}
	return series, nil
}

// heapBytes returns the heap and stack memory in use after garbage collection, in bytes.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

const (
	kib = 1 << 10
	// timedRuns is how many times a call is timed. The fastest run counts, since other
	// load on the machine slows the others down.
	timedRuns = 7
)

// fastest returns the shortest time of timedRuns calls, in microseconds.
func fastest(call func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range timedRuns {
		start := time.Now()
		call()
		best = min(best, time.Since(start))
	}
	return float64(best) / float64(time.Microsecond)
}
