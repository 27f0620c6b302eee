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

// NewCmdRun returns the command that runs a node; runF replaces the run in tests.
func NewCmdRun(_ *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Run the node beside an upstream",
		Long:    "Run the node beside an upstream until it gets SIGTERM; it then stops without cutting a call.",
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
	apply(settings)
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go newReloader(opts.SettingsFile, settings, logger).run(ctx)
	n, err := node.New(settings, logger, sink)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}
