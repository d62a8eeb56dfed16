package main

import (
	"context"
	"math"
	"os"
	"strconv"
	"strings"

	"github.com/fuchsiaspoke/fuchsiaspoke/contract/checker"
	"github.com/fuchsiaspoke/fuchsiaspoke/platform/reviewer"
	"github.com/integrii/flaggy"
	"github.com/pkg/errors"
)

// checkCommand validates documents of the project's own API, or a configuration in the platform's form.
type checkCommand struct {
	platform      string
	against       string
	settings      string
	capacity      string
	requestTokens int64
	json          bool
}

func (k *checkCommand) declare() *flaggy.Subcommand {
	c := flaggy.NewSubcommand("check")
	c.Description = "validate configuration documents before they are published: check FILE...; or a configuration of the users' platform: check --platform FILE"
	c.String(&k.platform, "", "platform", "configuration in the platform's form (op/config); - reads standard input")
	c.String(&k.against, "", "against", "with --platform: the version in force, to report what the new one takes away")
	c.String(&k.settings, "", "settings", "with --platform: a VM's settings file, for zones, regions and the retry budget")
	c.String(&k.capacity, "", "capacity", "with --platform: what all replicas of each service sustain, tokens a second for engines and requests a second for others: SERVICE=NUMBER,...")
	c.Int64(&k.requestTokens, "", "request-tokens", "with --platform: the size of the largest request, in tokens")
	c.Bool(&k.json, "", "json", "with --platform: write JSON")
	return c
}

// run exits with 0 if nothing is found, 1 if a document or the configuration has findings, 2 if a file cannot be read or none is given.
func (k *checkCommand) run(context.Context) error {
	var code int
	if k.platform == "" {
		if *k != (checkCommand{}) {
			return usageError{errors.New("check: this flag needs --platform FILE")}
		}
		code = checker.Checker{}.Check(os.Stdout, subcommandArguments("check")...)
	} else {
		capacity, err := parseCapacity(k.capacity)
		if err != nil {
			return usageError{err}
		}
		code = reviewer.Reviewer{
			JSON: k.json, Against: k.against, SettingsPath: k.settings, Capacity: capacity, RequestTokens: k.requestTokens,
		}.Review(os.Stdout, k.platform)
	}
	if code != 0 {
		return exitError(code)
	}
	return nil
}

// parseCapacity parses SERVICE=NUMBER,...; the name of a service may hold "=".
func parseCapacity(text string) (map[string]float64, error) {
	if text == "" {
		return nil, nil
	}
	out := map[string]float64{}
	for part := range strings.SplitSeq(text, ",") {
		at := strings.LastIndexByte(part, '=')
		n, err := strconv.ParseFloat(part[at+1:], 64)
		if at <= 0 || err != nil || math.IsNaN(n) || n < 0 {
			return nil, errors.Errorf("check: capacity: %q is not allowed; give SERVICE=NUMBER, separated by commas", part)
		}
		out[part[:at]] = n
	}
	return out, nil
}

// subcommandArguments returns the arguments of the subcommand, or nil if another one was called.
func subcommandArguments(command string) []string {
	if len(os.Args) < 2 || os.Args[1] != command {
		return nil
	}
	return os.Args[2:]
}

// listsFiles reports whether the arguments are a list of files. With --platform, check takes flags only.
func listsFiles(arguments []string) bool {
	for _, a := range arguments {
		if a == "--platform" || strings.HasPrefix(a, "--platform=") {
			return false
		}
	}
	return len(arguments) > 0
}
