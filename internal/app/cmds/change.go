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

// retryInterval is the delay before a change with an unknown outcome is sent again.
const retryInterval = 500 * time.Millisecond

// changeFlags holds the flags of the commands that change a deployment.
type changeFlags struct {
	changeID         string
	operator         string
	expectedRevision uint64
}

func addChangeFlags(command *cobra.Command) *changeFlags {
	flags := &changeFlags{}
	set := command.Flags()
	set.StringVar(&flags.changeID, "change-id", "", "idempotency key of the change; generated if empty")
	set.StringVar(&flags.operator, "operator", currentUsername(), "name recorded as the operator if the token has no name")
	set.Uint64Var(&flags.expectedRevision, "expected-revision", 0, "required current revision of the deployment; if 0, the revision in the file or the one in force")
	return flags
}

// editor runs a command that changes a deployment.
type editor struct {
	command     *cobra.Command
	clientFlags *clientFlags
	changeFlags *changeFlags
	client      admpb.AdminServiceClient
}

// change is a change of a deployment. It is sent again with the same id while
// its outcome is unknown.
type change struct {
	name             string
	id               string
	operator         string
	expectedRevision uint64
	client           admpb.AdminServiceClient
}

// newChange returns a change with the change id and operator of the flags. The
// flag --expected-revision takes precedence over expectedRevision.
func (editor editor) newChange(name string, expectedRevision uint64) (change, error) {
	id := editor.changeFlags.changeID
	if id == "" {
		generated, err := uuid.NewV7()
		if err != nil {
			return change{}, failedError(errors.Wrap(err, "generate change id"))
		}
		id = generated.String()
	}
	if editor.changeFlags.expectedRevision != 0 {
		expectedRevision = editor.changeFlags.expectedRevision
	}
	return change{name: name, id: id, operator: editor.changeFlags.operator, expectedRevision: expectedRevision, client: editor.client}, nil
}

// printAccepted prints the revision of an accepted change and the number of proxies that have it in force.
func (editor editor) printAccepted(name string, response *admpb.ApplyDeploymentResponse) error {
	if editor.clientFlags.output == outputJSON {
		return printMessage(editor.command.OutOrStdout(), response)
	}
	_, err := fmt.Fprintf(editor.command.OutOrStdout(), "%s: revision %d accepted, in force on %d of %d proxies\n",
		name, response.GetRevision(), response.GetInForce(), response.GetProxies())
	return err
}

// sendUntilKnown repeats call until the outcome of the change is known or ctx ends.
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
			return exitError{code: ExitUnknown, cause: errors.Wrapf(err, "outcome of the change is unknown; send it again with --change-id %s", change.id)}
		}
	}
}

// describeConflict adds the changes made after the expected revision, with their
// operators, to the error.
func (change change) describeConflict(ctx context.Context, err error) error {
	conflict := withExitCode(err)
	response, historyErr := change.client.ListChanges(ctx, connect.NewRequest(&admpb.ListChangesRequest{Name: change.name}))
	if historyErr != nil {
		return conflict
	}
	text := conflict.Error()
	for _, later := range response.Msg.GetChanges() {
		if later.GetRevision() > change.expectedRevision {
			text += fmt.Sprintf("\n  revision %d by %q at %s, change id %s", later.GetRevision(), later.GetOperator(),
				later.GetTime().AsTime().Format(time.RFC3339), later.GetChangeId())
		}
	}
	return exitError{code: ExitConflict, cause: errors.New(text)}
}
