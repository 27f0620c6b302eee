package run

import (
	"context"
	"os"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/logs"
	"github.com/turmericdale/turmericdale/internal/node"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	SettingsFile string
}

// NewCmdRun returns the command that runs a node; runF replaces its run function in tests.
func NewCmdRun(_ *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Run a node",
		Long:    "Run a node, the sidecar of an upstream. On SIGTERM it waits for calls in flight, up to stop_timeout, and stops.",
		Example: "  turmericdale node run --settings examples/gnomon/node.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.SettingsFile, "settings", "", "Settings file in JSON with comments")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runRun(ctx context.Context, opts *Options) error {
	settings, err := conf.Load(opts.SettingsFile)
	if err != nil {
		return err
	}
	logger, sink := logs.New(os.Stdout)
	defer sink.Close()
	applyRuntimeLimits(settings)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go newReloader(opts.SettingsFile, settings, logger).reloadLoop(ctx)
	n, err := node.New(settings, logger, sink)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
