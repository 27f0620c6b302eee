package takeback

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

// NewCmdTakeBack returns the command that takes a move back; runF replaces its run function in tests.
func NewCmdTakeBack(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "take-back <service>",
		Short:   "Take a running move back: all calls go to the stable version again",
		Example: "  turmericdale move take-back orders",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Service = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return takeBackRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func takeBackRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	record, err := api.TakeBack(ctx, opts.Service)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(record)
	}
	return f.PrintTable(factory.MoveHeadings, [][]string{factory.MoveRow(record)})
}
