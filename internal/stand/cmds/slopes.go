package cmds

import (
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/slope"
)

func newSlopes() *cobra.Command {
	options := slope.Options{}
	command := &cobra.Command{
		Use:   "slopes",
		Short: "Measure the cost of a proxy per group, peer, caller, statement, deployment and change",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			programs, err := fleet.ProgramDir()
			if err != nil {
				return err
			}
			options.Programs = programs
			options.Output = command.OutOrStdout()
			return slope.Run(command.Context(), options)
		},
	}
	command.Flags().StringVar(&options.Only, "only", "", "dimension to measure; all if empty")
	command.Flags().BoolVar(&options.JSON, "json", false, "print JSON lines instead of a table")
	return command
}
