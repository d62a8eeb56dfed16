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

// startVM runs one entry VM until the context ends.
type startVM func(ctx context.Context, vm fuchsiaspoke.VM, platformURL string) error

func (b *benchCommand) declare() *flaggy.Subcommand {
	b.scenario = "saathi"
	b.variants = "fuchsiaspoke"
	b.seed = 1
	b.warmup = 10 * time.Second
	b.duration = 20 * time.Second
	c := flaggy.NewSubcommand("bench")
	c.Description = "measure the deployments of the brief against stand-ins, the system's own way or a baseline's"
	c.Bool(&b.list, "", "list", "name the scenarios and the variants")
	c.String(&b.scenario, "", "scenario", "scenario to run")
	c.String(&b.variants, "", "variants", "what to run in turn, separated by commas")
	c.Int64(&b.seed, "", "seed", "seed of the load")
	c.Duration(&b.warmup, "", "warmup", "load before anything counts")
	c.Duration(&b.duration, "", "duration", "load that counts")
	c.String(&b.json, "", "json", "file for all figures; - for standard output instead of the table")
	c.String(&b.plots, "", "plots", "folder for plots in SVG")
	return c
}

func (b *benchCommand) run(ctx context.Context) error {
	if b.list {
		listScenarios()
		return nil
	}
	chosen, ok := scenario.Find(b.scenario)
	if !ok {
		return usageError{errors.Errorf("scenario: %q is not allowed; bench --list names the scenarios", b.scenario)}
	}
	variants, err := newVariants()
	if err != nil {
		return err
	}
	var report reporter.Reporter
	for _, name := range strings.Split(b.variants, ",") {
		start, ok := variants[name]
		if !ok {
			return usageError{errors.Errorf("variants: %q is not allowed; bench --list names the variants", name)}
		}
		one := bencher.Bencher{
			Scenario: chosen.WithTimes(b.warmup, b.duration), Variant: name, Seed: b.seed, StartVM: start, Progress: os.Stderr,
		}
		figures, err := one.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "run %s as %s", b.scenario, name)
		}
		report.Runs = append(report.Runs, figures)
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
	fmt.Println("  fuchsiaspoke         the system itself")
	fmt.Println("  round_robin          engines in turn, least recently used evicted, a fixed part of each rate at each VM")
	fmt.Println("  hash                 an adapter's engine by hash, a fixed part of each rate at each VM")
	fmt.Println("  alone                engines in turn, the whole rate at each VM")
}

func newVariants() (map[string]startVM, error) {
	var secret [32]byte
	if _, err := rand.Read(secret[:]); err != nil {
		return nil, errors.Wrap(err, "make a fleet key")
	}
	system := func(ctx context.Context, vm fuchsiaspoke.VM, platformURL string) error {
		admin, err := freeAddress()
		if err != nil {
			return err
		}
		r := &runner.Runner{VM: vm, AdminAddress: admin, PlatformURL: platformURL, FleetKey: hex.EncodeToString(secret[:])}
		return r.Run(ctx)
	}
	return map[string]startVM{
		"fuchsiaspoke": system,
		"round_robin":  baseline.Baseline{}.Run,
		"hash":         baseline.Baseline{ByHash: true}.Run,
		"alone":        baseline.Baseline{Alone: true}.Run,
	}, nil
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
