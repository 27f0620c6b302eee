package list

import (
	"context"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	JSON bool
}

// NewCmdList returns the command that lists moves; runF replaces its run function in tests.
func NewCmdList(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "list",
		Short:   "List the newest move of each service",
		Example: "  turmericdale move list",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return listRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func listRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	list, err := api.Moves(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list.GetMoves()))
	for _, r := range list.GetMoves() {
		rows = append(rows, factory.MoveRow(r))
	}
	return f.PrintTable(factory.MoveHeadings, rows)
}
