package bench

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// nameAll is the name that selects all measurements.
const nameAll = "all"

type (
	// Measurement is one entry of Measurements.
	Measurement struct {
		// Name selects the measurement on the command line and names its CSV file.
		Name string
		// Help describes the measurement in one line without a full stop.
		Help string
		// Run measures with the sizes of published figures, or with smaller ones if quick.
		Run func(quick bool) (*Table, error)
	}

	// Runner runs measurements by name.
	Runner struct {
		// CSV is the directory for one CSV file per table; no files are written if it is
		// empty.
		CSV string
		// Quick selects small sizes, which only show that the measurements work.
		Quick bool
	}
)

// Measurements lists every measurement of the package.
var Measurements = []Measurement{
	{"choice", "target choice against random choice and round robin, with faulty targets", func(quick bool) (*Table, error) {
		return RouteChoice(size(quick, 200, RouteMillis)), nil
	}},
	{"balance", "policies of load balancing with targets of varying speed, with and without faults", func(quick bool) (*Table, error) {
		return Balance(size(quick, 200, BalanceMillis), balancePolicies, balanceFaults, size(quick, balanceFleets[:1], balanceFleets)), nil
	}},
	{"admission", "the gate against a queue without deadlines under overload", func(quick bool) (*Table, error) {
		return Admission(size(quick, 1000, AdmitMillis)), nil
	}},
	{"retries", "executions through a chain of calls with and without the retry policy", func(quick bool) (*Table, error) {
		return RetryAmplification(size(quick, 20, ChainCalls), size(quick, 20_000, ChainMaxExecutions)), nil
	}},
	{"hedges", "delay of checks with and without hedges", func(quick bool) (*Table, error) {
		return Hedges(size(quick, 2000, HedgeCalls)), nil
	}},
	{"silence", "time from a silent connection to the next good call, with and without the stall detector", func(quick bool) (*Table, error) {
		return SilentConnection(size(quick, 5, StallRuns)), nil
	}},
	{"membership", "cost of the member table by fleet size and updates", func(quick bool) (*Table, error) {
		return MemberCost(size(quick, 5, MemberSeconds), size(quick, []int{20}, []int{100, 200, 400, 800})...)
	}},
	{"convergence", "time and bytes of a burst of releases by fleet size and RoundMillis", func(quick bool) (*Table, error) {
		return ReleaseConvergence(size(quick, 1, SpreadBursts), size(quick, []int{10}, []int{50, 200, 790})...)
	}},
	{"rollouts", "bad answers and time to the end of rollouts of good and faulty versions by fleet size", func(quick bool) (*Table, error) {
		return Rollouts(size(quick, 1, RolloutRuns), size(quick, 1, RolloutGoodRuns), size(quick, []int{16}, []int{16, 73, 300, 790})...), nil
	}},
	{"traffic", "control bytes of real transports on loopback, all in one process", func(quick bool) (*Table, error) {
		return ControlTraffic(size(quick, 3, TrafficNodes), size(quick, 300*time.Millisecond, TrafficDuration))
	}},
	{"path", "delay that the whole path adds to a direct call, by rate", func(quick bool) (*Table, error) {
		return PathDelay(size(quick, pathSlice, PathDuration), size(quick, []int{100}, []int{370, 1000, 2000, 4000})...)
	}},
	{"pick", "processor time of a target choice and of its decision log", func(quick bool) (*Table, error) {
		return PickCost(size(quick, 1000, CostRuns)), nil
	}},
	{"fence", "processor time and memory of the request records of a gate", func(quick bool) (*Table, error) {
		return DedupCost(size(quick, 1000, CostRuns)), nil
	}},
	{"caps", "usage caps over all nodes: largest window, needless refusals and messages, with faults", func(quick bool) (*Table, error) {
		return UsageCaps(size(quick, []CapSize{{4, 3, 1}}, CapSizes)...), nil
	}},
	{"memory", "memory of connections, calls in flight, members and routes", func(quick bool) (*Table, error) {
		return Memory(size(quick, []int{2}, MemorySizes)...)
	}},
}

// size returns small if quick, and published otherwise.
func size[T any](quick bool, small, published T) T {
	if quick {
		return small
	}
	return published
}

// SetFlags defines the command-line flags.
func (r *Runner) SetFlags(f *flag.FlagSet) {
	f.StringVar(&r.CSV, "csv", "", "`directory` for one CSV file per table")
	f.BoolVar(&r.Quick, "quick", false, "use sizes that only show that the measurements work")
}

// Run runs the named measurements in the order of the list and prints their
// tables; without a name it prints the list. It stops between two measurements
// when ctx ends.
func (r *Runner) Run(ctx context.Context, w io.Writer, names []string) error {
	if len(names) == 0 {
		return printList(w)
	}
	selected, err := selectMeasurements(names)
	if err != nil {
		return err
	}
	if r.CSV != "" {
		if err := os.MkdirAll(r.CSV, 0o755); err != nil {
			return err
		}
	}
	for _, m := range selected {
		if err := ctx.Err(); err != nil {
			return err
		}
		if err := r.run(w, m); err != nil {
			return fmt.Errorf("%s: %w", m.Name, err)
		}
	}
	return nil
}

// run runs one measurement, prints its table and writes its CSV file.
func (r *Runner) run(w io.Writer, m Measurement) error {
	start := time.Now()
	t, err := m.Run(r.Quick)
	if err != nil {
		return err
	}
	if err := t.Print(w); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "(%s, %.1f s)\n\n", m.Name, time.Since(start).Seconds()); err != nil {
		return err
	}
	if r.CSV == "" {
		return nil
	}
	f, err := os.Create(filepath.Join(r.CSV, m.Name+".csv"))
	if err != nil {
		return err
	}
	return errors.Join(t.CSV(f), f.Close())
}

// selectMeasurements returns the measurements with the given names, each once.
func selectMeasurements(names []string) ([]Measurement, error) {
	wanted := make(map[string]bool)
	for _, name := range names {
		wanted[name] = true
	}
	var out []Measurement
	for _, m := range Measurements {
		if wanted[m.Name] || wanted[nameAll] {
			out = append(out, m)
		}
		delete(wanted, m.Name)
	}
	delete(wanted, nameAll)
	for _, name := range names {
		if wanted[name] {
			return nil, fmt.Errorf("no measurement %q; the names are %s", name, strings.Join(validNames(), ", "))
		}
	}
	return out, nil
}

// validNames returns the names that selectMeasurements accepts.
func validNames() []string {
	out := []string{nameAll}
	for _, m := range Measurements {
		out = append(out, m.Name)
	}
	return out
}

// printList prints the names of the measurements with their help.
func printList(w io.Writer) error {
	for _, m := range Measurements {
		if _, err := fmt.Fprintf(w, "%-12s %s\n", m.Name, m.Help); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%-12s %s\n", nameAll, "all of them")
	return err
}
