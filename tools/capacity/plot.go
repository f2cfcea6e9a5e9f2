package main

import (
	"fmt"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 6 * vg.Inch
	plotHeight = 4 * vg.Inch

	bandwidthBound = 2000 // bytes per second
	processorBound = 4.7  // percent of a core
)

// drawPlots writes the plots of the mesh series to the directory plots within docs.
func drawPlots(docs string, report Report) error {
	if err := drawSeries(docs, report, "mesh-idle", bandwidthBound); err != nil {
		return err
	}
	return drawSeries(docs, report, "mesh-processor", processorBound)
}

func drawSeries(docs string, report Report, name string, bound float64) error {
	s, err := report.find(name)
	if err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = name
	p.X.Label.Text = s.Per
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	last := s.Points[len(s.Points)-1].Size
	measured := make(plotter.XYs, len(s.Points))
	for i, point := range s.Points {
		measured[i] = plotter.XY{X: point.Size, Y: point.Value}
	}
	fitted := plotter.XYs{{X: 0, Y: s.At(0)}, {X: last, Y: s.At(last)}}
	limit := plotter.XYs{{X: 0, Y: bound}, {X: last, Y: bound}}
	err = plotutil.AddLines(p, "fit", fitted, "bound", limit)
	if err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	if err := plotutil.AddScatters(p, "measured", measured); err != nil {
		return fmt.Errorf("plot %s: %w", name, err)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(docs, "plots", name+".svg"))
}
