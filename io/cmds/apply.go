package cmds

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/user"
	"time"

	"hickoryrail/core/clock"
	"hickoryrail/core/ident"
	"hickoryrail/core/model"
	"hickoryrail/core/result"
	"hickoryrail/io/admin"
)

const (
	// submitAttempts bounds the submissions of one edit whose response is lost. An
	// edit that is submitted again under the same id cannot be accepted twice.
	submitAttempts = 4
	// submitPauseMillis is the pause between two submissions.
	submitPauseMillis = 500 * clock.Millis(1)
	// newestBase is the value of -base that stands for the newest version.
	newestBase = -1
)

type (
	// editFlags holds the flags of the commands plan and apply.
	editFlags struct {
		nodeFlags
		fileFlags
		base     int64
		at       string
		edit     string
		operator string
	}

	// submitter submits edits to a node.
	submitter interface {
		Submit(ctx context.Context, e admin.Edit) (admin.Outcome, error)
	}
)

// errOutcomeUnknown reports an edit that may have been accepted.
var errOutcomeUnknown = errors.New("the outcome is unknown")

// flags defines the flags.
func (p *editFlags) flags(f *flag.FlagSet) {
	p.nodeFlags.flags(f)
	p.fileFlags.flags(f)
}

// planCommand returns the command that shows what an edit would change.
func planCommand(stdout io.Writer) *command {
	var p editFlags
	return &command{
		name: "plan", synopsis: "show what an edit would change, without changing anything",
		usage: `hickoryrail plan -inventory FILE -rules FILE [-base N] [-node URL]

Checks the files at a node and shows the fields that would change in the newest
release, or the fields that clash with releases since the base. It prints the
command that applies the edit. Without -base the files replace the newest
release as a whole; look for changes that undo another operator's edit.

Example:
  hickoryrail plan -inventory inventory.toml -rules rules.toml
`,
		flags: func(f *flag.FlagSet) {
			p.flags(f)
			f.Int64Var(&p.base, "base", newestBase, "`version` on which the files are based; -1 is the newest")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return p.plan(ctx, stdout)
		},
	}
}

// plan submits a dry run and prints its outcome.
func (p *editFlags) plan(ctx context.Context, stdout io.Writer) error {
	configuration, err := p.load()
	if err != nil {
		return err
	}
	client, err := p.newClient()
	if err != nil {
		return err
	}
	base := ident.Version(max(p.base, 0))
	if p.base < 0 {
		r, err := client.Configuration(ctx)
		if err != nil {
			return err
		}
		base = r.Version
	}
	out, err := client.Submit(ctx, admin.Edit{
		EditID: admin.NewEditID(), Base: base, Operator: operatorName(), DryRun: true, Configuration: configuration,
	})
	if err != nil {
		return notApplied(err)
	}
	if err := printChanges(stdout, out); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "\napply with:\n  hickoryrail apply -inventory %s -rules %s -base %d", p.inventory, p.rules, base)
	if p.node != defaultNode {
		fmt.Fprintf(stdout, " -node %s", p.node)
	}
	fmt.Fprintln(stdout)
	return nil
}

// printChanges prints what an edit changes; a refused edit is an error.
func printChanges(stdout io.Writer, out admin.Outcome) error {
	if out.State == admin.Refused {
		return refusal(out)
	}
	if len(out.Changes) == 0 {
		fmt.Fprintln(stdout, "no change")
	}
	for _, c := range out.Changes {
		switch {
		case c.Old == "":
			fmt.Fprintf(stdout, "+ %s = %s\n", c.Field, c.New)
		case c.New == "":
			fmt.Fprintf(stdout, "- %s = %s\n", c.Field, c.Old)
		default:
			fmt.Fprintf(stdout, "~ %s = %s (was %s)\n", c.Field, c.New, c.Old)
		}
	}
	return nil
}

// applyCommand returns the command that submits an edit.
func applyCommand(stdout io.Writer) *command {
	var p editFlags
	return &command{
		name: "apply", synopsis: "submit an edit, now or for a release time",
		usage: `hickoryrail apply -inventory FILE -rules FILE -base N [-at TIME] [-edit ID] [-node URL]

Submits the files as an edit that is based on version N, which plan prints; 0 is
for the first release. Changes by other edits since then are kept; if both change
the same field, the edit is refused and nothing changes. If a response is lost,
the edit is submitted again under the same id, which cannot apply it twice.

Examples:
  hickoryrail apply -inventory inventory.toml -rules rules.toml -base 12
  hickoryrail apply -inventory inventory.toml -rules rules.toml -base 12 -at 2027-01-04T06:00:00Z
`,
		flags: func(f *flag.FlagSet) {
			p.flags(f)
			f.Int64Var(&p.base, "base", newestBase, "`version` on which the files are based")
			f.StringVar(&p.at, "at", "", "release `time` such as 2027-01-04T06:00:00Z; empty is now")
			f.StringVar(&p.edit, "edit", "", "edit `id` of an earlier submission whose outcome is unknown")
			f.StringVar(&p.operator, "operator", operatorName(), "`name` for the history")
		},
		run: func(ctx context.Context, args []string) error {
			if err := noArguments(args); err != nil {
				return err
			}
			return p.apply(ctx, stdout)
		},
	}
}

// apply submits the edit and prints its outcome.
func (p *editFlags) apply(ctx context.Context, stdout io.Writer) error {
	if p.base < 0 {
		return usageError{"-base is missing; plan prints it"}
	}
	e := admin.Edit{Base: ident.Version(p.base), Operator: p.operator, EditID: ident.EditID(p.edit)}
	if p.at != "" {
		at, err := time.Parse(time.RFC3339, p.at)
		if err != nil {
			return usageError{fmt.Sprintf("-at %q is refused; allowed: a time such as 2027-01-04T06:00:00Z", p.at)}
		}
		e.ReleaseMillis = clock.FromTime(at)
	}
	if e.EditID == "" {
		e.EditID = admin.NewEditID()
	}
	var err error
	if e.Configuration, err = p.load(); err != nil {
		return err
	}
	client, err := p.newClient()
	if err != nil {
		return err
	}
	out, err := submit(ctx, client, e, submitPauseMillis)
	if errors.Is(err, errOutcomeUnknown) {
		return fmt.Errorf("repeat the command with -edit %s to learn the outcome: %w", e.EditID, err)
	}
	if err != nil {
		return notApplied(err)
	}
	return printOutcome(stdout, out)
}

// submit submits an edit until its outcome is known, at most submitAttempts times. The
// error is errOutcomeUnknown if the edit may have been accepted; any other error means
// that it was not.
func submit(ctx context.Context, s submitter, e admin.Edit, pause clock.Millis) (admin.Outcome, error) {
	unknown := false
	for attempt := 1; ; attempt++ {
		out, err := s.Submit(ctx, e)
		if err == nil {
			return out, nil
		}
		// A refusal of this attempt does not mean that earlier ones were refused.
		unknown = unknown || mayBeAccepted(err)
		if !unknown {
			return out, err
		}
		if attempt == submitAttempts || ctx.Err() != nil {
			return out, fmt.Errorf("%w: %w", errOutcomeUnknown, err)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause.Duration()):
		}
	}
}

// mayBeAccepted reports whether an edit may have been accepted despite err.
func mayBeAccepted(err error) bool {
	var faults model.Faults
	return !errors.As(err, &faults) && result.Of(err) == result.MayHaveRun
}

// printOutcome prints the outcome of an edit; a refused edit is an error.
func printOutcome(stdout io.Writer, out admin.Outcome) error {
	switch out.State {
	case admin.Refused:
		return refusal(out)
	case admin.Scheduled:
		fmt.Fprintf(stdout, "edit %s is scheduled for %s\n", out.EditID, formatTime(out.ReleaseMillis))
	default:
		fmt.Fprintf(stdout, "edit %s is release %d\n", out.EditID, out.Version)
	}
	return nil
}

// refusal returns the error for a refused edit.
func refusal(out admin.Outcome) error {
	text := "the edit was refused and nothing changed"
	if out.Reason != "" {
		text += ": " + out.Reason
	}
	for _, field := range out.Clashes {
		text += "\n  another edit changed " + field
	}
	return errors.New(text)
}

// notApplied adds to the error of a submission that the edit changed nothing.
func notApplied(err error) error {
	return fmt.Errorf("nothing changed: %w", err)
}

// operatorName returns the name of the user who runs the command, for the history.
func operatorName() string {
	if u, err := user.Current(); err == nil && u.Username != "" {
		return u.Username
	}
	if name := os.Getenv("USER"); name != "" {
		return name
	}
	return "unknown"
}
