package cmds

import (
	"context"
	"fmt"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/proto/admpb"
)

func newGroup() *cobra.Command {
	return newParent("group", "Show database groups and switch their primaries over", newGroupList(), newGroupShow(), newSwitchover())
}

func newGroupList() *cobra.Command {
	command := &cobra.Command{Use: "list", Short: "List the database groups", Args: cobra.NoArgs}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		groups, err := fetchGroups(command, flags)
		if err != nil {
			return err
		}
		if flags.output == outputJSON {
			return printMessage(command.OutOrStdout(), groups)
		}
		table := newTable("GROUP", "PRIMARY", "PROMOTIONS", "TERM", "INSTANCES", "REACHABLE", "LEAVING")
		for _, group := range groups.GetGroups() {
			reachable, leaving := 0, 0
			for _, instance := range group.GetInstances() {
				reachable += oneIf(instance.GetReachable())
				leaving += oneIf(instance.GetLeaving())
			}
			table.addRow(group.GetId(), orNone(group.GetPrimary()), fmt.Sprint(group.GetPromotions()), fmt.Sprint(group.GetTerm()),
				fmt.Sprint(len(group.GetInstances())), fmt.Sprint(reachable), fmt.Sprint(leaving))
		}
		return table.print(command.OutOrStdout())
	}
	return command
}

func newGroupShow() *cobra.Command {
	command := &cobra.Command{Use: "show GROUP", Short: "Show the instances of a group", Args: cobra.ExactArgs(1)}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		groups, err := fetchGroups(command, flags)
		if err != nil {
			return err
		}
		for _, group := range groups.GetGroups() {
			if group.GetId() == args[0] {
				return printGroup(command, flags, group)
			}
		}
		return exitError{code: ExitNotFound, cause: errors.Errorf("the proxy reports no group %q", args[0])}
	}
	return command
}

func printGroup(command *cobra.Command, flags *clientFlags, group *admpb.Group) error {
	if flags.output == outputJSON {
		return printMessage(command.OutOrStdout(), group)
	}
	table := newTable("INSTANCE", "ROLE", "DATA_CENTER", "ADDRESS", "FENCE", "TAIL", "LAG", "AGE", "REACHABLE", "LEAVING")
	for _, instance := range group.GetInstances() {
		role := instance.GetRole()
		if instance.GetId() == group.GetPrimary() {
			role += "*"
		}
		tail := fmt.Sprintf("%d/%d", instance.GetTail().GetTerm(), instance.GetTail().GetPosition())
		table.addRow(instance.GetId(), role, instance.GetDataCenter(), instance.GetAddress(), fmt.Sprint(instance.GetFence()), tail,
			fmt.Sprint(instance.GetLag()), instance.GetAge().AsDuration().Round(time.Millisecond).String(),
			yesNo(instance.GetReachable()), yesNo(instance.GetLeaving()))
	}
	return table.print(command.OutOrStdout())
}

func fetchGroups(command *cobra.Command, flags *clientFlags) (*admpb.ListGroupsResponse, error) {
	var groups *admpb.ListGroupsResponse
	err := flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
		response, err := client.ListGroups(ctx, connect.NewRequest(&admpb.ListGroupsRequest{}))
		if err == nil {
			groups = response.Msg
		}
		return err
	})
	return groups, err
}

func newSwitchover() *cobra.Command {
	command := &cobra.Command{
		Use:   "switchover GROUP",
		Short: "Switch the primary of a group over to another instance",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	target := command.Flags().String("target", "", "instance that becomes the primary; the most advanced replica if empty")
	command.RunE = func(command *cobra.Command, args []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.Switchover(ctx, connect.NewRequest(&admpb.SwitchoverRequest{Group: args[0], Target: *target}))
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printMessage(command.OutOrStdout(), response.Msg)
			}
			_, err = fmt.Fprintf(command.OutOrStdout(), "%s: primary is %s in term %d\n", args[0], response.Msg.GetPrimary(), response.Msg.GetTerm())
			return err
		})
	}
	return command
}

func newProxies() *cobra.Command {
	command := &cobra.Command{Use: "proxies", Short: "List the proxies and the revision that each has in force", Args: cobra.NoArgs}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, _ []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			response, err := client.ListProxies(ctx, connect.NewRequest(&admpb.ListProxiesRequest{}))
			if err != nil {
				return err
			}
			if flags.output == outputJSON {
				return printMessage(command.OutOrStdout(), response.Msg)
			}
			table := newTable("PROXY", "DATA_CENTER", "ADDRESS", "REVISION", "DRAINING", "HEARD")
			for _, proxy := range response.Msg.GetProxies() {
				lastHeartbeat := proxy.GetAge().AsDuration().Round(time.Millisecond).String() + " ago"
				table.addRow(proxy.GetId(), proxy.GetDataCenter(), proxy.GetAddress(), fmt.Sprint(proxy.GetRevision()), yesNo(proxy.GetDraining()), lastHeartbeat)
			}
			return table.print(command.OutOrStdout())
		})
	}
	return command
}

func newDrain() *cobra.Command {
	return newParent("drain", "Drain a proxy or an instance without losing requests", newDrainProxy(), newDrainInstance())
}

func newDrainProxy() *cobra.Command {
	command := &cobra.Command{
		Use:   "proxy ID",
		Short: "Drain a proxy and stop it",
		Long:  "Drain the proxy at the administration address: it completes the requests in flight and stops. ID must be the name of that proxy.",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	command.RunE = func(command *cobra.Command, args []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			if _, err := client.DrainProxy(ctx, connect.NewRequest(&admpb.DrainProxyRequest{Proxy: args[0]})); err != nil {
				return err
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s: draining\n", args[0])
			return err
		})
	}
	return command
}

func newDrainInstance() *cobra.Command {
	command := &cobra.Command{
		Use:   "instance ID",
		Short: "Keep new work from an instance, or let it take work again",
		Args:  cobra.ExactArgs(1),
	}
	flags := addClientFlags(command)
	resume := command.Flags().Bool("resume", false, "end the drain and send requests to the instance again")
	command.RunE = func(command *cobra.Command, args []string) error {
		return flags.call(command, func(ctx context.Context, client admpb.AdminServiceClient) error {
			request := &admpb.DrainInstanceRequest{Instance: args[0], Resume: *resume}
			if _, err := client.DrainInstance(ctx, connect.NewRequest(request)); err != nil {
				return err
			}
			state := "draining"
			if *resume {
				state = "takes work"
			}
			_, err := fmt.Fprintf(command.OutOrStdout(), "%s: %s\n", args[0], state)
			return err
		})
	}
	return command
}

func oneIf(condition bool) int {
	if condition {
		return 1
	}
	return 0
}

func orNone(text string) string {
	if strings.TrimSpace(text) == "" {
		return "none"
	}
	return text
}
