package cmds

import (
	"context"
	"fmt"
	"strings"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/app/parse"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

func newDeployment() *cobra.Command {
	return newParent("deployment", "Create, change, look at and delete deployments",
		newApply(), newGet(), newList(), newWatch(), newHistory(), newDelete(), newDiff())
}

func newGet() *cobra.Command {
	command := &cobra.Command{
		Use:   "get NAME",
		Short: "Print a deployment in the form of a deployment file",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			deployment, err := fetchDeployment(ctx, client, args[0])
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printDeployment(command.OutOrStdout(), deployment)
			}
			table := newTable("FIELD", "VALUE")
			table.addRow("name", deployment.Name())
			table.addRow("revision", fmt.Sprint(deployment.Revision()))
			fields := flatten(deployment)
			for _, field := range fields.paths {
				table.addRow(field, fields.values[field])
			}
			return table.print(command.OutOrStdout())
		})
	}
	return command
}

func newList() *cobra.Command {
	command := &cobra.Command{
		Use:   "list",
		Short: "List the deployments in force",
		Args:  cobra.NoArgs,
	}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.ListDeployments(ctx, connect.NewRequest(&admpb.ListDeploymentsRequest{}))
			if err != nil {
				return err
			}
			var deployments []*model.Deployment
			for _, message := range response.Msg.GetDeployments() {
				deployments = append(deployments, schema.ToDeployment(message))
			}
			if flags.output == outputJSON {
				return printDeployments(command.OutOrStdout(), deployments)
			}
			table := newTable("NAME", "REVISION", "GROUPS", "KINDS", "CALLERS", "LAG_POLICY")
			for _, deployment := range deployments {
				table.addRow(deployment.Name(), fmt.Sprint(deployment.Revision()), formatGroups(deployment),
					fmt.Sprint(len(deployment.Kinds())), fmt.Sprint(len(deployment.Classes())), orDefault(string(deployment.LagPolicy())))
			}
			return table.print(command.OutOrStdout())
		})
	}
	return command
}

func newWatch() *cobra.Command {
	command := &cobra.Command{
		Use:   "watch",
		Short: "Print a line for each revision that comes into force, until the timeout",
		Args:  cobra.NoArgs,
	}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			stream, err := client.WatchDeployments(ctx, connect.NewRequest(&admpb.WatchDeploymentsRequest{}))
			if err != nil {
				return err
			}
			defer func() { _ = stream.Close() }()
			for stream.Receive() {
				if err := printRevision(command, flags, stream.Msg()); err != nil {
					return err
				}
			}
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return nil
			}
			return stream.Err()
		})
	}
	return command
}

func printRevision(command *cobra.Command, flags *clientFlags, message *admpb.WatchDeploymentsResponse) error {
	if flags.output == outputJSON {
		return printMessage(command.OutOrStdout(), message)
	}
	var names []string
	for _, deployment := range message.GetDeployments() {
		names = append(names, fmt.Sprintf("%s@%d", deployment.GetName(), deployment.GetRevision()))
	}
	_, err := fmt.Fprintf(command.OutOrStdout(), "revision %d: %s\n", message.GetRevision(), strings.Join(names, " "))
	return err
}

func newHistory() *cobra.Command {
	command := &cobra.Command{
		Use:   "history NAME",
		Short: "List the accepted changes of a deployment, newest first",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.ListChanges(ctx, connect.NewRequest(&admpb.ListChangesRequest{Name: args[0]}))
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printMessage(command.OutOrStdout(), response.Msg)
			}
			return historyTable(response.Msg.GetChanges()).print(command.OutOrStdout())
		})
	}
	return command
}

// historyTable lists changes, newest first, each with its differences from the previous one.
func historyTable(changes []*admpb.Change) *table {
	table := newTable("REVISION", "TIME", "OPERATOR", "CHANGE_ID", "CHANGE")
	for index, change := range changes {
		var before *model.Deployment
		if index+1 < len(changes) {
			before = schema.ToDeployment(changes[index+1].GetDeployment())
		}
		table.addRow(fmt.Sprint(change.GetRevision()), change.GetTime().AsTime().Format("2006-01-02T15:04:05Z"),
			change.GetOperator(), change.GetChangeId(), summarizeChange(before, change))
	}
	return table
}

func summarizeChange(before *model.Deployment, change *admpb.Change) string {
	switch {
	case change.GetDeleted():
		return "deleted"
	case before == nil:
		return "created"
	}
	var texts []string
	for _, difference := range diffDeployments(before, schema.ToDeployment(change.GetDeployment())) {
		texts = append(texts, difference.String())
	}
	return strings.Join(texts, "; ")
}

func newDiff() *cobra.Command {
	command := &cobra.Command{
		Use:   "diff FILE",
		Short: "Show what applying a deployment file would change",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		wanted, err := parse.File(args[0])
		if err != nil {
			return usageError(err)
		}
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			current, err := fetchDeploymentOrNil(ctx, client, wanted.Name())
			if err != nil {
				return err
			}
			differences := diffDeployments(current, wanted)
			if flags.output == outputJSON {
				err = printJSON(command.OutOrStdout(), differences)
			} else {
				err = printDifferences(command, differences)
			}
			if err == nil && len(differences) > 0 {
				return exitError{code: ExitDiffers, cause: errors.Errorf("%d fields differ", len(differences))}
			}
			return err
		})
	}
	return command
}

func printDifferences(command *cobra.Command, differences []difference) error {
	for _, difference := range differences {
		if _, err := fmt.Fprintln(command.OutOrStdout(), difference); err != nil {
			return err
		}
	}
	return nil
}

func fetchDeployment(ctx context.Context, client admpb.AdminServiceClient, name string) (*model.Deployment, error) {
	response, err := client.GetDeployment(ctx, connect.NewRequest(&admpb.GetDeploymentRequest{Name: name}))
	if err != nil {
		return nil, err
	}
	return schema.ToDeployment(response.Msg.GetDeployment()), nil
}

// fetchDeploymentOrNil is like fetchDeployment but returns nil without an error
// for a deployment that does not exist.
func fetchDeploymentOrNil(ctx context.Context, client admpb.AdminServiceClient, name string) (*model.Deployment, error) {
	deployment, err := fetchDeployment(ctx, client, name)
	if resultCode(err) == codes.DeploymentNotFound {
		return nil, nil
	}
	return deployment, err
}
