// Package cmds is the command line: the proxy process and the operator's client
// of the administration API.
package cmds

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Run runs the command line with the given arguments and returns its exit code.
// extras are commands that the program adds to those of this package.
func Run(args []string, output, faults io.Writer, extras ...*cobra.Command) int {
	root := newRoot()
	root.AddCommand(extras...)
	root.SetArgs(args)
	root.SetOut(output)
	root.SetErr(faults)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(faults, "almondway:", err)
	var exit exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "almondway",
		Short: "Database proxy with session consistency",
		Long: `almondway is a database proxy with session consistency and the operator's
client of its administration API.

Exit codes: 0 done, 1 failed, 2 fault of the command line, a setting or a file,
3 another operator was faster, 4 not found, 5 access refused, 6 not available now,
7 the change may be accepted (send it again with the same change id), 8 diff found a difference.`,
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(
		newProxy(),
		newDeployment(),
		newGroup(),
		newProxies(),
		newDrain(),
		newStatus(),
		newSettings(),
		newLogging(),
		newCheck(),
		newCodes(),
		newVersion(),
	)
	return root
}

// newParent returns a command that only holds others.
func newParent(use, short string, children ...*cobra.Command) *cobra.Command {
	parent := &cobra.Command{
		Use:   use,
		Short: short,
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			return usageError(errors.Errorf("%s needs a command; see %s --help", command.CommandPath(), command.CommandPath()))
		},
	}
	parent.AddCommand(children...)
	return parent
}
