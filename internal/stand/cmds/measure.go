package cmds

import (
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/stand/bench"
	"almondway.dev/almondway/internal/stand/fleet"
	"almondway.dev/almondway/internal/stand/meas"
)

const defaultSeed = 20261203

func newMeasure() *cobra.Command {
	var options meas.Options
	command := &cobra.Command{
		Use:   "measure",
		Short: "Measure a system of separate processes under load and faults",
		Long: `Measure a system of separate processes under load and faults.

Prints one JSON line per deployment, scenario and policy.`,
		Args: cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if options.Programs == "" {
				programs, err := fleet.ProgramDir()
				if err != nil {
					return err
				}
				options.Programs = programs
			}
			options.Output = command.OutOrStdout()
			return meas.Measure(command.Context(), options)
		},
	}
	flags := command.Flags()
	flags.StringVar(&options.Programs, "programs", "", "directory of the programs to measure; the directory of this program if empty")
	flags.StringVar(&options.Examples, "examples", "examples", "directory of the deployment files")
	flags.StringVar(&options.Scenario, "scenario", "", "scenario to run; all if empty")
	flags.StringVar(&options.Deployment, "deployment", "", "deployment to run; all if empty")
	flags.StringVar(&options.Policy, "policy", "", "policy to run, almondway or naive; all if empty")
	flags.StringVar(&options.Label, "label", "", "policy name to report instead of almondway")
	flags.StringArrayVar(&options.ProxyArgs, "proxy-arg", nil, "additional argument of each proxy; may be repeated")
	flags.Uint64Var(&options.Seed, "seed", defaultSeed, "random seed of the load and the faults")
	flags.BoolVar(&options.KeepLogs, "keep-logs", false, "keep the log files of the processes")
	return command
}

func newBench() *cobra.Command {
	var options bench.Options
	command := &cobra.Command{
		Use:   "bench",
		Short: "Measure the speed of one proxy process",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			programs, err := fleet.ProgramDir()
			if err != nil {
				return err
			}
			options.Programs = programs
			options.Output = command.OutOrStdout()
			return bench.Run(command.Context(), options)
		},
	}
	command.Flags().StringVar(&options.Examples, "examples", "examples", "directory of the deployment files")
	command.Flags().StringArrayVar(&options.ProxyArgs, "proxy-arg", nil, "additional argument of the proxy; may be repeated")
	return command
}
