package main

import (
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

// environmentPrefix begins the name of each setting in the environment.
const environmentPrefix = "FUCHSIASPOKE_"

// setting declares a flag whose default is the environment variable of the same name.
func setting(c *flaggy.Subcommand, value *string, name, description string) {
	variable := environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	if fromEnvironment, ok := os.LookupEnv(variable); ok {
		*value = fromEnvironment
	}
	c.String(value, "", name, description+" ("+variable+")")
}
