package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"hickoryrail/core/model"
	"hickoryrail/io/conf"
	"hickoryrail/io/files"
)

// fileFlags holds the flags that name the files of a configuration.
type fileFlags struct {
	inventory string
	rules     string
}

// flags defines the flags.
func (s *fileFlags) flags(f *flag.FlagSet) {
	f.StringVar(&s.inventory, "inventory", "", "inventory `file`")
	f.StringVar(&s.rules, "rules", "", "rules `file`")
}

// load reads and validates the configuration.
func (s *fileFlags) load() (model.Configuration, error) {
	if s.inventory == "" || s.rules == "" {
		return model.Configuration{}, usageError{"-inventory and -rules are both needed"}
	}
	return files.Load(s.inventory, s.rules)
}

// checkCommand returns the command that checks files without a node.
func checkCommand(stdout io.Writer) *command {
	var s fileFlags
	var config string
	return &command{
		name: "check", synopsis: "check settings, inventory and rules files",
		usage: `hickoryrail check [-config FILE] [-inventory FILE [-rules FILE]]

Checks files without a node and names every fault with its line, key, value and
what is allowed. -rules needs -inventory too, because routes name its services.

Examples:
  hickoryrail check -config a1.toml
  hickoryrail check -inventory inventory.toml -rules rules.toml
`,
		flags: func(f *flag.FlagSet) {
			s.flags(f)
			f.StringVar(&config, "config", "", "settings `file` of a node")
		},
		run: func(_ context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			if config == "" && s.inventory == "" && s.rules == "" {
				return usageError{"name at least one file"}
			}
			if err := s.check(config); err != nil {
				return err
			}
			fmt.Fprintln(stdout, "no faults")
			return nil
		},
	}
}

// check checks the files that are named.
func (s *fileFlags) check(config string) error {
	var settings, configuration error
	if config != "" {
		_, settings = conf.Load(config)
	}
	switch {
	case s.rules != "":
		_, configuration = s.load()
	case s.inventory != "":
		// An inventory can be checked on its own, with empty rules.
		_, configuration = files.Load(s.inventory, os.DevNull)
	}
	return errors.Join(settings, configuration)
}
