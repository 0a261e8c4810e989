package cli

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/app/parse"
	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/core/model"
	"almondway.dev/almondway/internal/edge/schema"
	"almondway.dev/almondway/internal/proto/admpb"
)

// retryInterval is the time before a change with an open outcome is sent again.
const retryInterval = 500 * time.Millisecond

// changeFlags are the flags of the commands that change a deployment.
type changeFlags struct {
	changeID string
	operator string
	expected uint64
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	flags := &changeFlags{}
	set := command.Flags()
	set.StringVar(&flags.changeID, "change-id", "", "idempotency key of the change; a new one if empty")
	set.StringVar(&flags.operator, "operator", operatorName(), "who makes the change, where the token has no name")
	set.Uint64Var(&flags.expected, "expected-revision", 0, "revision that the deployment must have; that of the file, or the one in force, if 0")
	return flags
}

// change is a change of a deployment that is sent until its outcome is known.
type change struct {
	name     string
	id       string
	operator string
	expected uint64
	client   admpb.AdminServiceClient
}

func (changeFlags *changeFlags) change(client admpb.AdminServiceClient, name string, expected uint64) (change, error) {
	id := changeFlags.changeID
	if id == "" {
		drawn, err := uuid.NewV7()
		if err != nil {
			return change{}, failure(errors.Wrap(err, "draw change id"))
		}
		id = drawn.String()
	}
	if changeFlags.expected != 0 {
		expected = changeFlags.expected
	}
	return change{name: name, id: id, operator: changeFlags.operator, expected: expected, client: client}, nil
}

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
		client, err := flags.client()
		if err != nil {
			return err
		}
		ctx, cancel := flags.context(command)
		defer cancel()
		return apply(ctx, command, flags, changeFlags, client, wanted)
	}
	return command
}

func apply(ctx context.Context, command *cobra.Command, flags *clientFlags, changeFlags *changeFlags, client admpb.AdminServiceClient, wanted *model.Deployment) error {
	current, err := fetchOrNil(ctx, client, wanted.Name())
	if err != nil {
		return callError(err)
	}
	expected := wanted.Revision()
	if expected == 0 && current != nil {
		expected = current.Revision()
	}
	if made, err := changeFlags.made(ctx, client, wanted); err != nil || made != 0 {
		return printKnown(command, flags, wanted.Name(), "was accepted under this change id", made, err)
	}
	differences := compare(current, wanted)
	if current != nil && len(differences) == 0 {
		return printKnown(command, flags, wanted.Name(), "is in force and the same", current.Revision(), nil)
	}
	if flags.output == outputTable {
		if err := printDifferences(command, differences); err != nil {
			return err
		}
	}
	change, err := changeFlags.change(client, wanted.Name(), expected)
	if err != nil {
		return err
	}
	return change.apply(ctx, command, flags, wanted)
}

// made returns the revision that a change with the given id and content made
// before, or 0. The change id is then not sent again with another expected revision.
func (changeFlags *changeFlags) made(ctx context.Context, client admpb.AdminServiceClient, wanted *model.Deployment) (uint64, error) {
	if changeFlags.changeID == "" {
		return 0, nil
	}
	response, err := client.ListChanges(ctx, connect.NewRequest(&admpb.ListChangesRequest{Name: wanted.Name()}))
	if resultCode(err) == codes.DeploymentNotFound {
		return 0, nil
	}
	if err != nil {
		return 0, callError(err)
	}
	for _, made := range response.Msg.GetChanges() {
		same := len(compare(schema.ToDeployment(made.GetDeployment()), wanted)) == 0
		if made.GetChangeId() == changeFlags.changeID && same {
			return made.GetRevision(), nil
		}
	}
	return 0, nil
}

// printKnown prints that nothing has to be changed.
func printKnown(command *cobra.Command, flags *clientFlags, name, state string, revision uint64, err error) error {
	if err != nil {
		return err
	}
	if flags.output == outputJSON {
		return printMessage(command.OutOrStdout(), &admpb.ApplyDeploymentResponse{Revision: revision})
	}
	_, err = fmt.Fprintf(command.OutOrStdout(), "%s: revision %d %s\n", name, revision, state)
	return err
}

// apply sends the change and prints its revision.
func (change change) apply(ctx context.Context, command *cobra.Command, flags *clientFlags, wanted *model.Deployment) error {
	var response *connect.Response[admpb.ApplyDeploymentResponse]
	err := change.send(ctx, func(ctx context.Context) error {
		var err error
		response, err = change.client.ApplyDeployment(ctx, connect.NewRequest(&admpb.ApplyDeploymentRequest{
			Deployment:       schema.FromDeployment(wanted),
			ExpectedRevision: change.expected,
			ChangeId:         change.id,
			Operator:         change.operator,
		}))
		return err
	})
	if err != nil {
		return err
	}
	if flags.output == outputJSON {
		return printMessage(command.OutOrStdout(), response.Msg)
	}
	return printAccepted(command, wanted.Name(), response.Msg.GetRevision(), response.Msg.GetInForce(), response.Msg.GetProxies())
}

func newDelete() *cobra.Command {
	command := &cobra.Command{
		Use:   "delete NAME",
		Short: "Delete a deployment",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	changeFlags := addChangeFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		client, err := flags.client()
		if err != nil {
			return err
		}
		ctx, cancel := flags.context(command)
		defer cancel()
		return remove(ctx, command, flags, changeFlags, client, args[0])
	}
	return command
}

func remove(ctx context.Context, command *cobra.Command, flags *clientFlags, changeFlags *changeFlags, client admpb.AdminServiceClient, name string) error {
	var expected uint64
	if changeFlags.expected == 0 {
		current, err := fetch(ctx, client, name)
		if err != nil {
			return callError(err)
		}
		expected = current.Revision()
	}
	change, err := changeFlags.change(client, name, expected)
	if err != nil {
		return err
	}
	var response *connect.Response[admpb.DeleteDeploymentResponse]
	err = change.send(ctx, func(ctx context.Context) error {
		var err error
		response, err = client.DeleteDeployment(ctx, connect.NewRequest(&admpb.DeleteDeploymentRequest{
			Name:             name,
			ExpectedRevision: change.expected,
			ChangeId:         change.id,
			Operator:         change.operator,
		}))
		return err
	})
	if err != nil {
		return err
	}
	if flags.output == outputJSON {
		return printMessage(command.OutOrStdout(), response.Msg)
	}
	return printAccepted(command, name, response.Msg.GetRevision(), response.Msg.GetInForce(), response.Msg.GetProxies())
}

// send calls until the outcome of the change is known or the time is over.
func (change change) send(ctx context.Context, call func(ctx context.Context) error) error {
	for {
		err := call(ctx)
		if err == nil {
			return nil
		}
		if resultCode(err) == codes.RevisionConflict {
			return change.conflict(ctx, err)
		}
		if !outcomeIsOpen(err) {
			return callError(err)
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return exitError{code: ExitUnknown, cause: errors.Wrapf(err, "the change may be accepted; send it again with --change-id %s", change.id)}
		}
	}
}

// conflict adds to the error who changed the deployment after the expected revision.
func (change change) conflict(ctx context.Context, err error) error {
	conflict := callError(err)
	response, historyErr := change.client.ListChanges(ctx, connect.NewRequest(&admpb.ListChangesRequest{Name: change.name}))
	if historyErr != nil {
		return conflict
	}
	text := conflict.Error()
	for _, made := range response.Msg.GetChanges() {
		if made.GetRevision() > change.expected {
			text += fmt.Sprintf("\n  revision %d by %q at %s, change id %s", made.GetRevision(), made.GetOperator(),
				made.GetTime().AsTime().Format(time.RFC3339), made.GetChangeId())
		}
	}
	return exitError{code: ExitConflict, cause: errors.New(text)}
}

func printAccepted(command *cobra.Command, name string, revision uint64, inForce, proxies int32) error {
	_, err := fmt.Fprintf(command.OutOrStdout(), "%s: revision %d accepted, in force on %d of %d proxies\n", name, revision, inForce, proxies)
	return err
}
