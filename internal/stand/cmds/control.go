package cmds

import (
	"fmt"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/types/known/durationpb"

	"almondway.dev/almondway/internal/proto/ctrlpb"
)

func newControl() *cobra.Command {
	command := &cobra.Command{Use: "control", Short: "Set the faults of a running stand-in"}
	command.AddCommand(newControlPlatform(), newControlInstance(), newControlHost(), newControlState())
	return command
}

func addressFlag(command *cobra.Command, address *string) *cobra.Command {
	command.Flags().StringVar(address, "address", "", `"ip:port" of the fault control`)
	return command
}

func newControlPlatform() *cobra.Command {
	var address string
	var slowness, hostListLag time.Duration
	var faults ctrlpb.SetPlatformFaultsRequest
	command := &cobra.Command{
		Use:   "platform",
		Short: "Replace the faults of the platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			faults.Slowness = durationpb.New(slowness)
			if command.Flags().Changed("host-list-lag") {
				faults.HostListLag = durationpb.New(hostListLag)
			}
			client := ctrlpb.NewPlatformControlServiceClient(http.DefaultClient, "http://"+address)
			_, err := client.SetPlatformFaults(command.Context(), connect.NewRequest(&faults))
			return errors.Wrap(err, "set faults of the platform")
		},
	}
	flags := command.Flags()
	flags.BoolVar(&faults.Outage, "outage", false, "refuse all calls")
	flags.BoolVar(&faults.Silent, "silent", false, "accept calls but neither execute nor answer them")
	flags.DurationVar(&slowness, "slowness", 0, "delay added to each call")
	flags.Uint32Var(&faults.LoseAnswers, "lose-answers", 0, "number of writes that are executed without an answer")
	flags.DurationVar(&hostListLag, "host-list-lag", 0, "lag of the host list")
	return addressFlag(command, &address)
}

func newControlInstance() *cobra.Command {
	var address string
	var lag time.Duration
	var faults ctrlpb.SetInstanceFaultsRequest
	command := &cobra.Command{
		Use:   "instance",
		Short: "Replace the faults of an instance",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if command.Flags().Changed("lag") {
				faults.Lag = durationpb.New(lag)
			}
			client := ctrlpb.NewInstanceControlServiceClient(http.DefaultClient, "http://"+address)
			_, err := client.SetInstanceFaults(command.Context(), connect.NewRequest(&faults))
			return errors.Wrap(err, "set faults of the instance")
		},
	}
	flags := command.Flags()
	flags.BoolVar(&faults.CutFromGroup, "cut-from-group", false, "silence the connections to and from the group")
	flags.BoolVar(&faults.CutFromProxies, "cut-from-proxies", false, "silence the connections of the proxies")
	flags.BoolVar(&faults.Frozen, "frozen", false, "silence all connections")
	flags.BoolVar(&faults.Leaving, "leaving", false, "refuse new connections and statements")
	flags.DurationVar(&lag, "lag", 0, "lag of the replica")
	return addressFlag(command, &address)
}

func newControlHost() *cobra.Command {
	var address string
	var request ctrlpb.MarkHostRequest
	command := &cobra.Command{
		Use:   "host INSTANCE",
		Short: "Mark the host of an instance in the platform's host list",
		Args:  cobra.ExactArgs(1),
		RunE: func(command *cobra.Command, args []string) error {
			request.InstanceId = args[0]
			client := ctrlpb.NewPlatformControlServiceClient(http.DefaultClient, "http://"+address)
			_, err := client.MarkHost(command.Context(), connect.NewRequest(&request))
			return errors.Wrap(err, "mark host")
		},
	}
	command.Flags().BoolVar(&request.Leaving, "leaving", true, "mark as leaving")
	return addressFlag(command, &address)
}

func newControlState() *cobra.Command {
	var address string
	command := &cobra.Command{
		Use:   "state",
		Short: "Print the state of an instance",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			client := ctrlpb.NewInstanceControlServiceClient(http.DefaultClient, "http://"+address)
			response, err := client.GetInstanceState(command.Context(), connect.NewRequest(&ctrlpb.GetInstanceStateRequest{}))
			if err != nil {
				return errors.Wrap(err, "get state of the instance")
			}
			_, err = fmt.Fprintln(command.OutOrStdout(), protojson.Format(response.Msg))
			return errors.Wrap(err, "print state")
		},
	}
	return addressFlag(command, &address)
}
