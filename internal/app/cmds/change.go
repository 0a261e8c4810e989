package cmds

import (
	"context"
	"fmt"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/core/codes"
	"almondway.dev/almondway/internal/proto/admpb"
)

// retryInterval is the time before a change with an open outcome is sent again.
const retryInterval = 500 * time.Millisecond

// changeFlags are the flags of the commands that change a deployment.
type changeFlags struct {
	changeID         string
	operator         string
	expectedRevision uint64
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	flags := &changeFlags{}
	set := command.Flags()
	set.StringVar(&flags.changeID, "change-id", "", "idempotency key of the change; a new one if empty")
	set.StringVar(&flags.operator, "operator", currentUsername(), "who makes the change, where the token has no name")
	set.Uint64Var(&flags.expectedRevision, "expected-revision", 0, "revision that the deployment must have; that of the file, or the one in force, if 0")
	return flags
}

// editor runs a command that changes a deployment.
type editor struct {
	command     *cobra.Command
	clientFlags *clientFlags
	changeFlags *changeFlags
	client      admpb.AdminServiceClient
}

// change is a change of a deployment that is sent until its outcome is known.
type change struct {
	name             string
	id               string
	operator         string
	expectedRevision uint64
	client           admpb.AdminServiceClient
}

// newChange returns the change of the flags. expected is the revision that the
// deployment must have where no flag says.
func (editor editor) newChange(name string, expected uint64) (change, error) {
	id := editor.changeFlags.changeID
	if id == "" {
		drawn, err := uuid.NewV7()
		if err != nil {
			return change{}, failedError(errors.Wrap(err, "draw change id"))
		}
		id = drawn.String()
	}
	if editor.changeFlags.expectedRevision != 0 {
		expected = editor.changeFlags.expectedRevision
	}
	return change{name: name, id: id, operator: editor.changeFlags.operator, expectedRevision: expected, client: editor.client}, nil
}

// printAccepted prints the revision of a change.
func (editor editor) printAccepted(name string, response *admpb.ApplyDeploymentResponse) error {
	if editor.clientFlags.output == outputJSON {
		return printMessage(editor.command.OutOrStdout(), response)
	}
	_, err := fmt.Fprintf(editor.command.OutOrStdout(), "%s: revision %d accepted, in force on %d of %d proxies\n",
		name, response.GetRevision(), response.GetInForce(), response.GetProxies())
	return err
}

// sendUntilKnown calls until the outcome of the change is known or the time is over.
func (change change) sendUntilKnown(ctx context.Context, call func(ctx context.Context) error) error {
	for {
		err := call(ctx)
		if err == nil {
			return nil
		}
		if resultCode(err) == codes.RevisionConflict {
			return change.describeConflict(ctx, err)
		}
		if !outcomeUnknown(err) {
			return err
		}
		select {
		case <-time.After(retryInterval):
		case <-ctx.Done():
			return exitError{code: ExitUnknown, cause: errors.Wrapf(err, "the change may be accepted; send it again with --change-id %s", change.id)}
		}
	}
}

// describeConflict adds to the error who changed the deployment after the expected revision.
func (change change) describeConflict(ctx context.Context, err error) error {
	conflict := withExitCode(err)
	response, historyErr := change.client.ListChanges(ctx, connect.NewRequest(&admpb.ListChangesRequest{Name: change.name}))
	if historyErr != nil {
		return conflict
	}
	text := conflict.Error()
	for _, made := range response.Msg.GetChanges() {
		if made.GetRevision() > change.expectedRevision {
			text += fmt.Sprintf("\n  revision %d by %q at %s, change id %s", made.GetRevision(), made.GetOperator(),
				made.GetTime().AsTime().Format(time.RFC3339), made.GetChangeId())
		}
	}
	return exitError{code: ExitConflict, cause: errors.New(text)}
}
