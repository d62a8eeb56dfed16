package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/fuchsiaspoke/fuchsiaspoke"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/baseline"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/bencher"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/reporter"
	"github.com/fuchsiaspoke/fuchsiaspoke/bench/scenario"
	"github.com/fuchsiaspoke/fuchsiaspoke/vm/runner"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

type benchCommand struct {
	list     bool
	scenario string
	variants string
	seed     int64
	warmup   time.Duration
	duration time.Duration
	json     string
	plots    string
}

// vmStarter runs one entry VM until the context is cancelled.
type vmStarter func(ctx context.Context, vm fuchsiaspoke.VM, platformURL string) error

func (b *benchCommand) declare() *flaggy.Subcommand {
	b.scenario = "saathi"
	b.variants = "fuchsiaspoke"
	b.seed = 1
	b.warmup = 10 * time.Second
	b.duration = 20 * time.Second
	c := flaggy.NewSubcommand("bench")
	c.Description = "run a load scenario against stand-ins, with fuchsiaspoke or a baseline, and report the results"
	c.Bool(&b.list, "", "list", "list the scenarios and the variants")
	c.String(&b.scenario, "", "scenario", "scenario to run")
	c.String(&b.variants, "", "variants", "variants to run one after the other, separated by commas")
	c.Int64(&b.seed, "", "seed", "seed of the load generator")
	c.Duration(&b.warmup, "", "warmup", "duration of the load before the measurement")
	c.Duration(&b.duration, "", "duration", "duration of the measured load")
	c.String(&b.json, "", "json", "file for all results as JSON; - writes them to standard output instead of the table")
	c.String(&b.plots, "", "plots", "directory for SVG plots")
	return c
}

func (b *benchCommand) run(ctx context.Context) error {
	if b.list {
		listScenarios()
		return nil
	}
	selected, ok := scenario.Find(b.scenario)
	if !ok {
		return usageError{errors.Errorf("scenario: %q is unknown; bench --list prints the scenarios", b.scenario)}
	}
	variants, err := variantStarters()
	if err != nil {
		return err
	}
	var report reporter.Reporter
	for _, name := range strings.Split(b.variants, ",") {
		start, ok := variants[name]
		if !ok {
			return usageError{errors.Errorf("variants: %q is unknown; bench --list prints the variants", name)}
		}
		benchRun := bencher.Bencher{
			Scenario: selected.WithTimes(b.warmup, b.duration), Variant: name, Seed: b.seed, StartVM: start, Progress: os.Stderr,
		}
		result, err := benchRun.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "run scenario %s with variant %s", b.scenario, name)
		}
		report.Runs = append(report.Runs, result)
	}
	return b.write(report)
}

func (b *benchCommand) write(report reporter.Reporter) error {
	if b.json == "-" {
		return report.JSON(os.Stdout)
	}
	if err := report.Table(os.Stdout); err != nil {
		return err
	}
	if b.json != "" {
		if err := writeFile(b.json, report.JSON); err != nil {
			return err
		}
	}
	if b.plots == "" {
		return nil
	}
	if err := writeFile(filepath.Join(b.plots, "first_token.svg"), report.FirstTokenSVG); err != nil {
		return err
	}
	return writeFile(filepath.Join(b.plots, "wait.svg"), report.WaitSVG)
}

func writeFile(path string, write func(io.Writer) error) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "write report")
	}
	if err := write(f); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write report")
}

func listScenarios() {
	fmt.Println("scenarios:")
	for _, s := range scenario.All() {
		fmt.Printf("  %-20s %s\n", s.Name, s.Description)
	}
	fmt.Println("variants:")
	fmt.Println("  fuchsiaspoke         entry VMs of this project")
	fmt.Println("  round_robin          engines round robin, LRU adapter eviction, an equal share of each rate limit per VM")
	fmt.Println("  hash                 as round_robin, but the engine is chosen by a hash of the adapter name")
	fmt.Println("  alone                as round_robin, but each VM applies the full rate limits, as if it were the only VM")
}

func variantStarters() (map[string]vmStarter, error) {
	var fleetKey [32]byte
	if _, err := rand.Read(fleetKey[:]); err != nil {
		return nil, errors.Wrap(err, "generate a fleet key")
	}
	startEntryVM := func(ctx context.Context, vm fuchsiaspoke.VM, platformURL string) error {
		admin, err := freeTCPAddress()
		if err != nil {
			return err
		}
		r := &runner.Runner{VM: vm, AdminAddress: admin, PlatformURL: platformURL, FleetKey: hex.EncodeToString(fleetKey[:])}
		return r.Run(ctx)
	}
	return map[string]vmStarter{
		"fuchsiaspoke": startEntryVM,
		"round_robin":  baseline.Baseline{}.Run,
		"hash":         baseline.Baseline{ByHash: true}.Run,
		"alone":        baseline.Baseline{Alone: true}.Run,
	}, nil
}

func freeTCPAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
