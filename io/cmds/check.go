package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"hickoryrail/core/model"
	"hickoryrail/io/conf"
)

// sources holds the flags that name the files of a configuration.
type sources struct {
	inventory string
	rules     string
	loaders   Loaders
}

// flags defines the flags.
func (s *sources) flags(f *flag.FlagSet) {
	f.StringVar(&s.inventory, "inventory", "", "inventory `file`")
	f.StringVar(&s.rules, "rules", "", "rules `file`")
}

// load reads and validates the configuration. It reports the faults of both files
// at once.
func (s *sources) load() (model.Configuration, error) {
	if s.inventory == "" || s.rules == "" {
		return model.Configuration{}, usageError{"-inventory and -rules are both needed"}
	}
	inventory, err1 := s.loaders.Inventory(s.inventory)
	rules, err2 := s.loaders.Rules(s.rules)
	if err := errors.Join(err1, err2); err != nil {
		return model.Configuration{}, err
	}
	c := model.Configuration{Inventory: inventory, Rules: rules}
	return c, c.Validate()
}

// checkCommand checks files without a node.
func checkCommand(stdout io.Writer, loaders Loaders) *command {
	s := sources{loaders: loaders}
	var config string
	return &command{
		name: "check", synopsis: "check settings, inventory and rules files",
		usage: `hickoryrail check [-config FILE] [-inventory FILE] [-rules FILE]

Checks files without a node and names every fault with its line, key, value and
what is allowed. With both -inventory and -rules it also checks that each rule
fits the inventory.

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
func (s *sources) check(config string) error {
	var faults []error
	if config != "" {
		_, err := conf.Load(config)
		faults = append(faults, err)
	}
	var err error
	switch {
	case s.inventory != "" && s.rules != "":
		_, err = s.load()
	case s.inventory != "":
		_, err = s.loaders.Inventory(s.inventory)
	case s.rules != "":
		_, err = s.loaders.Rules(s.rules)
	}
	return errors.Join(append(faults, err)...)
}
