// Command capacity measures how the costs of the control plane grow with the size of
// the fleet, fits a line to each cost, writes the results to a data file and updates
// the tables and plots of the capacity page from it.
//
//	go run ./tools/capacity            # measure and update the page
//	go run ./tools/capacity -page-only # update the page from the data file
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

func main() {
	docs := flag.String("docs", "docs", "directory of the page, its data and its plots")
	pageOnly := flag.Bool("page-only", false, "update the page from the existing data file")
	quick := flag.Bool("quick", false, "measure only the two smallest sizes, to try the command")
	flag.Parse()
	if err := run(*docs, *pageOnly, *quick); err != nil {
		fmt.Fprintln(os.Stderr, "capacity:", err)
		os.Exit(1)
	}
}

func run(docs string, pageOnly, quick bool) error {
	dataFile := filepath.Join(docs, "capacity.json")
	if !pageOnly {
		report, err := measureAll(quick)
		if err != nil {
			return err
		}
		if err := report.save(dataFile); err != nil {
			return err
		}
	}
	report, err := load(dataFile)
	if err != nil {
		return err
	}
	if err := updatePage(filepath.Join(docs, "CAPACITY.md"), report); err != nil {
		return err
	}
	return drawPlots(docs, report)
}
