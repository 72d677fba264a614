package loadgen

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"gonum.org/v1/plot/vg/draw"
)

// Exit codes of the commands.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

const (
	// standardOutput is the value of -json that selects standard output.
	standardOutput = "-"
	// daemonPackage is the package that is built where -daemon is not set.
	daemonPackage = "rosemaryline.dev/cmd/rosemarylined"
)

// Flags are the flags of both commands.
type Flags struct {
	File       string
	JSON, Plot string
	// Daemon and Baseline are paths of rosemarylined binaries, for files with a fleet.
	Daemon, Baseline string
	// Rounds replaces that of the file unless it is 0.
	Rounds int
}

// ParseFlags parses the arguments of a command: flags and the load file. single leaves out the flags that compare. It returns an
// error of flag.ErrHelp after -help.
func ParseFlags(name string, args []string, single bool, stderr io.Writer) (*Flags, error) {
	f := &Flags{}
	set := flag.NewFlagSet(name, flag.ContinueOnError)
	set.SetOutput(stderr)
	set.StringVar(&f.JSON, "json", "", "file for the results as JSON, - for standard output; default none")
	set.StringVar(&f.Plot, "plot", "", "file for a chart, for example out.svg or out.png; default none")
	set.StringVar(&f.Daemon, "daemon", "", "path of the rosemarylined binary, for files with a fleet; default: built from the present directory's module")
	if !single {
		set.StringVar(&f.Baseline, "baseline", "", "path of another rosemarylined binary, with which -daemon is compared")
		set.IntVar(&f.Rounds, "rounds", 0, "number of measurements of each target; default that of the file")
	}
	set.Usage = func() {
		fmt.Fprintf(stderr, "usage: %s [flags] FILE\n", name)
		set.PrintDefaults()
	}
	if err := set.Parse(args); err != nil {
		return nil, err
	}
	if set.NArg() != 1 {
		set.Usage()
		return nil, errors.New("one load file is needed")
	}
	var err error
	switch {
	case f.Rounds < 0 || f.Rounds > maxRounds:
		err = errors.Errorf("-rounds must be 0 to %d", maxRounds)
	case f.Plot != "" && !slices.Contains(draw.Formats(), chartFormat(f.Plot)):
		err = errors.Errorf("-plot: the name must end with one of %s", strings.Join(draw.Formats(), ", "))
	}
	if err != nil {
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return nil, err
	}
	f.File = set.Arg(0)
	return f, nil
}

// Write writes the results as JSON and the chart, as far as the flags select them.
func (f *Flags) Write(c *Comparison, stdout io.Writer) error {
	if f.JSON != "" {
		data, err := json.MarshalIndent(c, "", "  ")
		if err != nil {
			return err
		}
		data = append(data, '\n')
		if f.JSON == standardOutput {
			_, err = stdout.Write(data)
		} else {
			err = os.WriteFile(f.JSON, data, 0o644)
		}
		if err != nil {
			return err
		}
	}
	if f.Plot == "" {
		return nil
	}
	return c.Plot(f.Plot)
}

// Summarize writes tables: the ends of requests by target, round and kind, the rollouts, the figures and the differences.
func (c *Comparison) Summarize(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(table, "TARGET\tROUND\tREQUEST\tIN TIME\tLATE\tREFUSED\tAT ONCE\tFAILED\tBROKEN\tTIMED OUT\tSKIPPED\tP50 MS\tP99 MS")
	for _, t := range c.Targets {
		for round, r := range t.Rounds {
			for _, k := range r.Kinds {
				n := k.Ends
				fmt.Fprintf(table, "%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", t.Name, round+1, k.Name, n["inTime"], n["late"],
					n["refused"], k.RefusedAtOnce, n["failed"], n["broken"], n["timedOut"], n["skipped"], k.P50Ms, k.P99Ms)
			}
		}
	}
	fmt.Fprintln(table)
	c.summarizeFigures(table)
	fmt.Fprintln(table)
	c.summarizeRollouts(table)
	for _, list := range [][]Difference{c.Kinds, c.Figures} {
		for _, d := range list {
			verdict := fmt.Sprintf("within the spread of the rounds (%.4f)", d.Spread)
			switch {
			case d.Clear:
				verdict = fmt.Sprintf("beyond the spread of the rounds (%.4f)", d.Spread)
			case len(c.Targets[0].Rounds) == 1:
				verdict = "one round, so that the spread is unknown"
			}
			what := d.Figure
			if d.Kind != "" {
				what = d.Kind + ": in time"
			}
			fmt.Fprintf(table, "%s against %s, %s: %+.4f, %s\n", d.Target, d.Against, what, d.Share, verdict)
		}
	}
	return table.Flush()
}

// summarizeFigures writes the figures of the targets, one column for each figure.
func (c *Comparison) summarizeFigures(w io.Writer) {
	for i, t := range c.Targets {
		if i == 0 {
			names := []string{"TARGET"}
			for _, f := range t.Figures {
				names = append(names, strings.ToUpper(f.Name))
			}
			fmt.Fprintln(w, strings.Join(names, "\t"))
		}
		cells := []string{t.Name}
		for _, f := range t.Figures {
			cell := fmt.Sprintf("%.2f%%", 100*f.Value)
			if f.Of != "" {
				cell += " " + f.Of
			}
			cells = append(cells, cell)
		}
		fmt.Fprintln(w, strings.Join(cells, "\t"))
	}
}

// summarizeRollouts writes how the rollouts ended.
func (c *Comparison) summarizeRollouts(w io.Writer) {
	for _, t := range c.Targets {
		for round, r := range t.Rounds {
			for _, o := range r.Rollouts {
				fmt.Fprintf(w, "%s, round %d, rollout of %s to %s: %s, %d requests at the new version; %s\n", t.Name, round+1, o.Service, o.Version, o.Phase, o.Requests, o.Reason)
			}
		}
	}
}

// selectBuilds sets the binaries of the targets, and doubles the targets for a baseline. clean removes a binary that was built.
func (s *Spec) selectBuilds(ctx context.Context, f *Flags, stderr io.Writer) (clean func(), err error) {
	clean = func() {}
	if s.Fleet == nil {
		if f.Daemon != "" || f.Baseline != "" {
			return clean, errors.New("-daemon and -baseline need a file with a fleet")
		}
		return clean, nil
	}
	for i := range s.Targets {
		if s.Targets[i].Daemon != "" {
			continue
		}
		if f.Daemon == "" {
			dir, err := os.MkdirTemp("", "rosemaryline-experiment-")
			if err != nil {
				return clean, err
			}
			clean = func() { os.RemoveAll(dir) }
			f.Daemon = filepath.Join(dir, "rosemarylined")
			fmt.Fprintf(stderr, "building %s\n", daemonPackage)
			build := exec.CommandContext(ctx, "go", "build", "-o", f.Daemon, daemonPackage)
			build.Stdout, build.Stderr = stderr, stderr
			if err := build.Run(); err != nil {
				return clean, errors.Wrap(err, "build the daemon; -daemon selects a binary")
			}
		}
		s.Targets[i].Daemon = f.Daemon
	}
	if f.Baseline != "" {
		s.addBaseline(f.Baseline)
	}
	return clean, nil
}

// Run runs a command with its arguments and returns its exit code. With single set it measures the first target once, otherwise
// all targets for all rounds. Progress goes to standard error.
func Run(name string, args []string, single bool) int {
	flags, err := ParseFlags(name, args, single, os.Stderr)
	if errors.Is(err, flag.ErrHelp) {
		return ExitOK
	}
	if err != nil {
		return ExitUsage
	}
	fail := func(err error, code int) int {
		fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
		return code
	}
	spec, err := Load(flags.File)
	if err != nil {
		return fail(err, ExitUsage)
	}
	if single {
		spec.Targets, spec.Rounds = spec.Targets[:1], 1
	}
	if flags.Rounds > 0 {
		spec.Rounds = flags.Rounds
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	clean, err := spec.selectBuilds(ctx, flags, os.Stderr)
	defer clean()
	if err != nil {
		return fail(err, ExitFailed)
	}
	results, err := spec.Compare(ctx, func(target string, round int, at time.Duration, sent, ended int) {
		fmt.Fprintf(os.Stderr, "%s: %s, round %d of %d: %s of %s, %d sent, %d ended\n", name, target, round, spec.Rounds,
			at.Truncate(time.Second), spec.Duration, sent, ended)
	})
	if err != nil {
		return fail(err, ExitFailed)
	}
	tables := io.Writer(os.Stdout)
	if flags.JSON == standardOutput {
		tables = os.Stderr
	}
	if err := results.Summarize(tables); err != nil {
		return fail(err, ExitFailed)
	}
	if err := flags.Write(results, os.Stdout); err != nil {
		return fail(err, ExitFailed)
	}
	return ExitOK
}
