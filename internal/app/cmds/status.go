package cmds

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/proto/admpb"
)

func newStatus() *cobra.Command {
	command := &cobra.Command{Use: "status", Short: "Show the state of a proxy", Args: cobra.NoArgs}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.GetStatus(ctx, connect.NewRequest(&admpb.GetStatusRequest{}))
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printMessage(command.OutOrStdout(), response.Msg)
			}
			return statusTable(response.Msg).print(command.OutOrStdout())
		})
	}
	return command
}

func statusTable(status *admpb.GetStatusResponse) *table {
	revision := "unknown"
	if status.GetRevisionKnown() {
		revision = fmt.Sprint(status.GetRevision())
	}
	table := newTable("FIELD", "VALUE")
	table.addRow("proxy", status.GetProxy())
	table.addRow("data_center", status.GetDataCenter())
	table.addRow("version", status.GetVersion())
	table.addRow("uptime", status.GetUptime().AsDuration().Round(time.Second).String())
	table.addRow("revision", revision)
	table.addRow("confirmed", yesNo(status.GetConfirmed()))
	table.addRow("draining", yesNo(status.GetDraining()))
	table.addRow("may_promote", yesNo(status.GetMayPromote()))
	table.addRow("deployments", fmt.Sprint(status.GetDeployments()))
	table.addRow("groups", fmt.Sprint(status.GetGroups()))
	table.addRow("groups_without_primary", fmt.Sprint(status.GetGroupsWithoutPrimary()))
	table.addRow("proxies", fmt.Sprint(status.GetProxies()))
	table.addRow("log_level", status.GetLogLevel())
	table.addRow("log_sample", fmt.Sprint(status.GetLogSample()))
	return table
}

func newSettings() *cobra.Command {
	command := &cobra.Command{Use: "settings", Short: "Show the settings that a proxy has in effect", Args: cobra.NoArgs}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.GetSettings(ctx, connect.NewRequest(&admpb.GetSettingsRequest{}))
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printMessage(command.OutOrStdout(), response.Msg)
			}
			table := newTable("FLAG", "VARIABLE", "VALUE")
			for _, setting := range response.Msg.GetSettings() {
				table.addRow("--"+setting.GetFlag(), setting.GetEnv(), setting.GetValue())
			}
			return table.print(command.OutOrStdout())
		})
	}
	return command
}

func newLogging() *cobra.Command {
	command := &cobra.Command{
		Use:     "logging",
		Short:   "Change the log level of a proxy and the sampling of its routing lines",
		Example: "  almondway logging --level info --sample 100",
		Args:    cobra.NoArgs,
	}
	flags := addClientFlags(command)
	level := command.Flags().String("level", "", "lowest level of log lines that are written: error, warn, info or debug; unchanged if empty")
	sample := command.Flags().Int32("sample", 0, "write the routing lines of one in this many requests; 0 writes none; unchanged if not given")
	command.RunE = func(command *cobra.Command, _ []string) error {
		request := &admpb.SetLoggingRequest{Level: *level}
		if command.Flags().Changed("sample") {
			request.Sample = sample
		}
		if request.Level == "" && request.Sample == nil {
			return usageError(errors.New("neither --level nor --sample is given"))
		}
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.SetLogging(ctx, connect.NewRequest(request))
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "level %s, sample %d\n", response.Msg.GetLevel(), response.Msg.GetSample())
			return err
		})
	}
	return command
}
