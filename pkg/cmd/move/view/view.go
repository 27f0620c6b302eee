package view

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	Service string
	JSON    bool
}

// NewCmdView returns the command that shows one move; runF replaces its run function in tests.
func NewCmdView(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "view <service>",
		Short:   "Show the newest move of a service",
		Example: "  turmericdale move view orders --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Service = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return viewRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func viewRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	record, err := api.Move(ctx, opts.Service)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(record)
	}
	return f.PrintTable(factory.MoveHeadings, [][]string{factory.MoveRow(record)})
}
