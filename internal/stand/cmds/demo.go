package cmds

import (
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/stand/demo"
	"almondway.dev/almondway/internal/stand/fleet"
)

func newDemo() *cobra.Command {
	var options demo.Options
	command := &cobra.Command{
		Use:   "demo",
		Short: "Show the whole path in separate processes on the loopback address",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			programs, err := fleet.ProgramDir()
			if err != nil {
				return err
			}
			options.Programs = programs
			options.Output = command.OutOrStdout()
			return demo.Run(command.Context(), options)
		},
	}
	command.Flags().StringVar(&options.Examples, "examples", "examples", "directory of the deployment files")
	return command
}
