// Package cmds is the command line of the standin program: stand-ins for the platform and
// for the database instances, the demo and the measurements.
package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"
)

// Run runs the command line and returns the exit code of the process.
func Run(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	logrus.SetFormatter(&logrus.JSONFormatter{})
	root := &cobra.Command{
		Use:           "standin",
		Short:         "Stand-ins of the platform and of the backend servers, demo and measurements",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newTopology(), newPlatform(), newInstance(), newControl(), newDemo(), newSlopes(), newMeasure(), newBench(), newExperiment())
	root.SetArgs(args)
	if err := root.ExecuteContext(ctx); err != nil {
		_, _ = fmt.Fprintf(os.Stderr, "standin: %s\n", err)
		return 1
	}
	return 0
}
