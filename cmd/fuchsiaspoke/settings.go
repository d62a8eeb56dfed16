package main

import (
	"os"
	"strings"

	"github.com/integrii/flaggy"
)

// environmentPrefix is the prefix of the environment variables for settings.
const environmentPrefix = "FUCHSIASPOKE_"

// addSetting declares a string flag whose default is the environment variable with the corresponding name.
func addSetting(c *flaggy.Subcommand, value *string, name, description string) {
	variable := environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
	if environmentValue, ok := os.LookupEnv(variable); ok {
		*value = environmentValue
	}
	c.String(value, "", name, description+" ("+variable+")")
}
