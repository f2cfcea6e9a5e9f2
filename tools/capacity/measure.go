package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// measurement takes the values of several series at one size.
type measurement struct {
	sizes   []int
	series  []Series // without points; one for each value
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

// heapBytes returns the memory in use after a collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

const (
	kib = 1 << 10
	// timedRuns is how often a call is timed; the fastest counts, since the others
	// were disturbed.
	timedRuns = 7
)

// fastest returns the shortest time of several runs, in microseconds.
func fastest(call func()) float64 {
	best := time.Duration(1<<63 - 1)
	for range timedRuns {
		start := time.Now()
		call()
		best = min(best, time.Since(start))
	}
	return float64(best) / float64(time.Microsecond)
}
