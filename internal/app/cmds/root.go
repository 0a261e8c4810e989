// Package cmds implements the command line: it runs the proxy process and the
// operator's client of the administration API.
package cmds

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// Run runs the command line with the given arguments, which exclude the program
// name, and returns its exit code. extraCommands are added to the commands of
// this package.
func Run(args []string, stdout, stderr io.Writer, extraCommands ...*cobra.Command) int {
	root := newRoot()
	root.AddCommand(extraCommands...)
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.Execute()
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintln(stderr, "almondway:", err)
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

Exit codes: 0 success, 1 failure, 2 invalid command line, setting or file,
3 revision conflict or reused change id, 4 not found, 5 access denied, 6 unavailable,
7 outcome of the change unknown (send it again with the same change id), 8 diff found a difference.`,
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

// newParent returns a command that only groups subcommands.
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
