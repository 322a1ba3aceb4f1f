// Command fleet runs trials and measurements with a fleet of separate processes on
// loopback. It is a tool for developers; operators use hickoryrail.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/io/demo"
	"hickoryrail/io/procs"
)

// trials are the disturbances by name.
var trials = map[string]func(*procs.Trial) error{
	"kill": procs.Kill, "freeze": procs.Freeze, "terminate": procs.Terminate, "outage": procs.Outage, "reader": procs.Reader,
}

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
}

// run runs the trials that the arguments name.
func run() error {
	binary := flag.String("binary", "./hickoryrail", "hickoryrail `program`")
	nodes := flag.Int("nodes", 6, "number of node processes")
	victim := flag.Int("victim", 0, "number of the node that is disturbed, from 1; 0 is the last. Odd nodes are beside targets with actions")
	sizes := flag.String("sizes", "10,20,40,80,160", "fleet sizes of the cost measurement")
	round := flag.Int("round", 100, "setting Spread.RoundMillis of the cost measurement")
	settle := flag.Duration("settle", 40*time.Second, "time before the cost measurement, in which the starts are gossiped")
	csv := flag.String("csv", "", "`file` for the rows of the cost measurement")
	flag.Usage = usage
	flag.Parse()
	if flag.NArg() == 0 {
		usage()
		return fmt.Errorf("name a trial")
	}
	if flag.Arg(0) == "cost" {
		return cost(*binary, *sizes, *round, *settle, *csv)
	}
	for _, name := range flag.Args() {
		disturb, ok := trials[name]
		if !ok {
			return fmt.Errorf("no trial %q", name)
		}
		fmt.Printf("== %s\n", name)
		t := &procs.Trial{W: os.Stdout, Without: []int{(*victim + *nodes - 1) % *nodes}, Disturb: disturb, Fleet: newFleet(*binary, *nodes)}
		if err := t.Run(context.Background()); err != nil {
			return fmt.Errorf("%s: %w", name, err)
		}
	}
	return nil
}

// cost measures idle fleets of several sizes.
func cost(binary, list string, round int, settle time.Duration, csv string) error {
	var sizes []int
	for _, text := range strings.Split(list, ",") {
		n, err := strconv.Atoi(text)
		if err != nil {
			return err
		}
		sizes = append(sizes, n)
	}
	table, err := procs.Cost(context.Background(), sizes, settle, func(n int) *procs.Fleet {
		f := newFleet(binary, n)
		f.RoundMillis = clock.Millis(round)
		return f
	})
	if err != nil {
		return err
	}
	if csv != "" {
		f, err := os.Create(csv)
		if err != nil {
			return err
		}
		defer f.Close()
		if err := table.CSV(f); err != nil {
			return err
		}
	}
	return table.Print(os.Stdout)
}

// newFleet returns a fleet in three failure domains with two services.
func newFleet(binary string, nodes int) *procs.Fleet {
	return &procs.Fleet{Binary: binary, Targets: nodes, Layout: demo.Layout{
		Nodes: nodes, DelayMillis: 2, RoundMillis: 100, Decisions: "problems",
		Domains:  []ident.FailureDomain{"attica-a", "attica-b", "attica-c"},
		Services: []ident.ServiceName{"orders", "catalogue"},
	}}
}

// usage prints the trials.
func usage() {
	names := make([]string, 0, len(trials))
	for name := range trials {
		names = append(names, name)
	}
	sort.Strings(names)
	fmt.Fprintf(os.Stderr, "usage: fleet [flags] TRIAL...\ntrials: %v, or cost\n", names)
	flag.PrintDefaults()
}
