package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"almondway.dev/almondway/internal/app/config"
	"almondway.dev/almondway/internal/app/logs"
	"almondway.dev/almondway/internal/app/serve"
)

const signalBuffer = 2

func newProxy() *cobra.Command {
	command := &cobra.Command{
		Use:   "proxy",
		Short: "Run a proxy",
		Long: `Run a proxy between callers and the database groups of the platform.

Each setting is a flag or, if the flag is not given, an environment variable.
The proxy writes its log to the standard error output, one JSON object per line.
SIGTERM or SIGINT drains the proxy; a second signal stops it at once.`,
		Example: `  almondway proxy --data-center gradska-dvorana --platform http://10.1.0.5:6500 \
    --listen 10.1.0.21:6432 --peer-listen 10.1.0.21:6433 --admin-listen 127.0.0.1:6434`,
		Args: cobra.NoArgs,
	}
	loader := config.NewLoader(command.Flags())
	command.Flags().SortFlags = false
	command.RunE = func(command *cobra.Command, _ []string) error {
		settings, err := loader.Load(os.LookupEnv)
		if err != nil {
			return usageError(err)
		}
		return runProxy(command, settings)
	}
	return command
}

func runProxy(command *cobra.Command, settings *config.Config) error {
	log, err := logs.New(command.ErrOrStderr(), settings.LogLevel(), settings.LogSample())
	if err != nil {
		return usageError(err)
	}
	defer log.Close()
	signals := make(chan os.Signal, signalBuffer)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	signal.Ignore(syscall.SIGPIPE) // the reader of the log may go away
	proxy, err := serve.New(settings, log, Version())
	if err != nil {
		return failedError(err)
	}
	if err := proxy.Run(signals); err != nil {
		return failedError(err)
	}
	return nil
}
