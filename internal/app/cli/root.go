// Package cli is the command line: the proxy process and the operator's client
// of the administration API.
package cli

import (
	"fmt"
	"io"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"
)

// The exit codes of the command line.
const (
	// ExitOK means that the command did what it was asked to.
	ExitOK = 0
	// ExitFailed means that it did not, for a reason that has no code of its own.
	ExitFailed = 1
	// ExitUsage means that the command line, a setting or a file has a fault. Nothing was changed.
	ExitUsage = 2
)

type exitError struct {
	code  int
	cause error
}

func (exitError exitError) Error() string { return exitError.cause.Error() }

func (exitError exitError) Unwrap() error { return exitError.cause }

func usageError(cause error) error { return exitError{code: ExitUsage, cause: cause} }

// Run runs the command line with the given arguments and returns its exit code.
func Run(args []string, output, faults io.Writer) int {
	root := newRoot()
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
		Use:           "almondway",
		Short:         "Database proxy with session consistency",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newProxy(), newVersion())
	return root
}
