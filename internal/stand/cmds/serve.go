package cmds

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/proto/ctrlpb"
	"almondway.dev/almondway/internal/stand/insta"
	"almondway.dev/almondway/internal/stand/plat"
	"almondway.dev/almondway/internal/stand/topol"
)

const headerTimeout = 5 * time.Second

func newPlatform() *cobra.Command {
	var topology, address string
	command := &cobra.Command{
		Use:   "platform",
		Short: "Run the stand-in of the platform",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			spec, err := topol.Load(topology)
			if err != nil {
				return err
			}
			return serveHTTP(command.Context(), address, plat.New(spec).Handler())
		},
	}
	command.Flags().StringVar(&topology, "topology", "", "topology file")
	command.Flags().StringVar(&address, "listen", "127.0.0.1:7000", `"ip:port" to listen on`)
	return command
}

func newInstance() *cobra.Command {
	var topology, id string
	var options insta.Options
	command := &cobra.Command{
		Use:   "instance",
		Short: "Run the stand-in of a database instance",
		Args:  cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			spec, err := topol.Load(topology)
			if err != nil {
				return err
			}
			return serveInstance(command.Context(), spec, id, options)
		},
	}
	command.Flags().StringVar(&topology, "topology", "", "topology file")
	command.Flags().StringVar(&id, "id", "", "id of the instance to run, from the topology file")
	command.Flags().BoolVar(&options.Empty, "empty", false, "start with an empty log and no fence, as a replacement for a killed instance")
	return command
}

func serveInstance(ctx context.Context, spec topol.Spec, id string, options insta.Options) error {
	instance, err := insta.New(spec, id, options)
	if err != nil {
		return err
	}
	_, self, err := spec.FindInstance(id)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", self.Address)
	if err != nil {
		return errors.Wrapf(err, "listen for instance %s", id)
	}
	mux := http.NewServeMux()
	mux.Handle(ctrlpb.NewInstanceControlServiceHandler(instance))
	controlDone := make(chan error, 1)
	go func() { controlDone <- serveHTTP(ctx, self.ControlAddress, mux) }()
	instance.Start()
	if err := instance.Serve(ctx, listener); err != nil {
		return err
	}
	return <-controlDone
}

// serveHTTP serves until the context is cancelled, which is not an error.
func serveHTTP(ctx context.Context, address string, handler http.Handler) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrapf(err, "listen at %s", address)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	logrus.WithField("address", address).Info("serving")
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrapf(err, "serve at %s", address)
	}
	return nil
}

func newTopology() *cobra.Command {
	var basePort int
	var path string
	command := &cobra.Command{
		Use:       "topology zagreb|lakeshore",
		Short:     "Write the topology file of an example site",
		Args:      cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs),
		ValidArgs: []string{"zagreb", "lakeshore"},
		RunE: func(_ *cobra.Command, args []string) error {
			site := topol.Zagreb()
			if args[0] == "lakeshore" {
				site = topol.Lakeshore()
			}
			return site.Spec(topol.NewPortSequence(basePort)).Save(path)
		},
	}
	command.Flags().IntVar(&basePort, "base-port", 7001, "first port of the instances")
	command.Flags().StringVar(&path, "output", "topology.json", "file to write")
	return command
}
