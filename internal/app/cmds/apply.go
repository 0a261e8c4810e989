package cmds

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/app/parse"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

func newApply() *cobra.Command {
	command := &cobra.Command{
		Use:   "apply FILE",
		Short: "Create or change a deployment",
		Long: `Create or change a deployment by a file in YAML or JSON.

The command prints what changes, then sends the change with the revision that the
operator saw: --expected-revision, the revision in the file, or the one in force. If
another operator was faster, nothing is changed and the command says who it was. An
answer that is lost is decided by sending the change again under the same change id.`,
		Example: "  almondway deployment apply examples/gradski.yaml",
		Args:    cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	changeFlags := addChangeFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		wanted, err := parse.File(args[0])
		if err != nil {
			return usageError(err)
		}
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			editor := editor{command: command, clientFlags: flags, changeFlags: changeFlags, client: client}
			return editor.apply(ctx, wanted)
		})
	}
	return command
}

func (editor editor) apply(ctx context.Context, wanted *model.Deployment) error {
	current, err := fetchDeploymentOrNil(ctx, editor.client, wanted.Name())
	if err != nil {
		return err
	}
	accepted, err := editor.findAccepted(ctx, wanted)
	if err != nil {
		return err
	}
	differences := diffDeployments(current, wanted)
	switch {
	case accepted != 0:
		return editor.printUnchanged(wanted.Name(), accepted, "was accepted under this change id")
	case current != nil && len(differences) == 0:
		return editor.printUnchanged(wanted.Name(), current.Revision(), "is in force and the same")
	}
	if editor.clientFlags.output == outputTable {
		if err := printDifferences(editor.command, differences); err != nil {
			return err
		}
	}
	expectedRevision := wanted.Revision()
	if expectedRevision == 0 && current != nil {
		expectedRevision = current.Revision()
	}
	change, err := editor.newChange(wanted.Name(), expectedRevision)
	if err != nil {
		return err
	}
	return editor.sendApply(ctx, change, wanted)
}

// findAccepted returns the revision of an accepted change with the same change
// id and content, or 0 if there is none. An accepted change is not sent again:
// its expected revision would differ from that of the first attempt.
func (editor editor) findAccepted(ctx context.Context, wanted *model.Deployment) (uint64, error) {
	if editor.changeFlags.changeID == "" {
		return 0, nil
	}
	response, err := editor.client.ListChanges(ctx, connect.NewRequest(&admpb.ListChangesRequest{Name: wanted.Name()}))
	if resultCode(err) == codes.DeploymentNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	for _, accepted := range response.Msg.GetChanges() {
		same := len(diffDeployments(schema.ToDeployment(accepted.GetDeployment()), wanted)) == 0
		if accepted.GetChangeId() == editor.changeFlags.changeID && same {
			return accepted.GetRevision(), nil
		}
	}
	return 0, nil
}

// printUnchanged prints the revision of a deployment that needs no change.
func (editor editor) printUnchanged(name string, revision uint64, state string) error {
	if editor.clientFlags.output == outputJSON {
		return printMessage(editor.command.OutOrStdout(), &admpb.ApplyDeploymentResponse{Revision: revision})
	}
	_, err := fmt.Fprintf(editor.command.OutOrStdout(), "%s: revision %d %s\n", name, revision, state)
	return err
}

// sendApply sends the wanted deployment and prints the accepted revision.
func (editor editor) sendApply(ctx context.Context, change change, wanted *model.Deployment) error {
	var response *connect.Response[admpb.ApplyDeploymentResponse]
	err := change.sendUntilKnown(ctx, func(ctx context.Context) error {
		var err error
		response, err = editor.client.ApplyDeployment(ctx, connect.NewRequest(&admpb.ApplyDeploymentRequest{
			Deployment:       schema.FromDeployment(wanted),
			ExpectedRevision: change.expectedRevision,
			ChangeId:         change.id,
			Operator:         change.operator,
		}))
		return err
	})
	if err != nil {
		return err
	}
	return editor.printAccepted(wanted.Name(), response.Msg)
}
