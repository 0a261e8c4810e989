package cmds

import (
	"context"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/proto/admpb"
)

func newDelete() *cobra.Command {
	command := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a deployment",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	changeFlags := addChangeFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			editor := editor{command: command, clientFlags: flags, changeFlags: changeFlags, client: client}
			return editor.deleteDeployment(ctx, args[0])
		})
	}
	return command
}

func (editor editor) deleteDeployment(ctx context.Context, name string) error {
	var expectedRevision uint64
	if editor.changeFlags.expectedRevision == 0 {
		current, err := fetchDeployment(ctx, editor.client, name)
		if err != nil {
			return err
		}
		expectedRevision = current.Revision()
	}
	change, err := editor.newChange(name, expectedRevision)
	if err != nil {
		return err
	}
	accepted := &admpb.ApplyDeploymentResponse{}
	err = change.sendUntilKnown(ctx, func(ctx context.Context) error {
		response, err := editor.client.DeleteDeployment(ctx, connect.NewRequest(&admpb.DeleteDeploymentRequest{
			Name:             name,
			ExpectedRevision: change.expectedRevision,
			ChangeId:         change.id,
			Operator:         change.operator,
		}))
		if err == nil {
			accepted.Revision = response.Msg.GetRevision()
			accepted.InForce = response.Msg.GetInForce()
			accepted.Proxies = response.Msg.GetProxies()
		}
		return err
	})
	if err != nil {
		return err
	}
	return editor.printAccepted(name, accepted)
}
