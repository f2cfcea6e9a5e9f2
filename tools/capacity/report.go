package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Series is one cost measured at several sizes, with the line fitted to it.
type Series struct {
	// Name identifies the series in the data file and the budget, and doesn't change.
	// Role is the component of an entry instance that causes the cost.
	Name string `json:"name"`
	Role string `json:"role"`
	Unit string `json:"unit"`
	// Per names what a size counts, such as entry instances.
	Per    string  `json:"per"`
	Points []Point `json:"points"`
	Fit    Fit     `json:"fit"`
	// Today and Target are the size of today's fleet and the target size.
	Today  float64 `json:"today"`
	Target float64 `json:"target"`
}

// At returns the fitted value at a size.
func (s Series) At(size float64) float64 { return s.Fit.A + s.Fit.B*size }

// Report holds all series of one run.
type Report struct {
	GoVersion string   `json:"goVersion"`
	Platform  string   `json:"platform"`
	Cores     int      `json:"cores"`
	Series    []Series `json:"series"`
}

func newReport() Report {
	return Report{
		GoVersion: runtime.Version(),
		Platform:  runtime.GOOS + "/" + runtime.GOARCH,
		Cores:     runtime.NumCPU(),
	}
}

// find returns the series with a name.
func (r Report) find(name string) (Series, error) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, nil
		}
	}
	return Series{}, fmt.Errorf("no series %q in the data", name)
}

func (r Report) save(file string) error {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return fmt.Errorf("encode the data: %w", err)
	}
	return os.WriteFile(file, append(data, '\n'), 0o644)
}

func load(file string) (Report, error) {
	var r Report
	data, err := os.ReadFile(file)
	if err != nil {
		return r, fmt.Errorf("read the data: %w", err)
	}
	if err := json.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("read the data in %s: %w", file, err)
	}
	return r, nil
}
