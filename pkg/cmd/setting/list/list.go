package list

import (
	"context"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	Prefix  string
	InForce bool
	JSON    bool
}

// NewCmdList returns the command that lists paths; runF replaces its run function in tests.
func NewCmdList(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "list [<prefix>]",
		Short:   "List the paths that you may read",
		Example: "  turmericdale setting list /teams/orders/",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Prefix = "/"
			if len(args) == 1 {
				opts.Prefix = args[0]
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return listRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.InForce, "in-force", false, "List the configuration that the node runs, even while the platform is down")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func listRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	list, err := api.List(ctx, opts.Prefix, opts.InForce)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list.GetEntries()))
	for _, e := range list.GetEntries() {
		rows = append(rows, []string{e.GetPath(), strconv.FormatUint(e.GetRevision(), 10), e.GetAuthor(), e.GetValue()})
	}
	return f.PrintTable([]string{"PATH", "REVISION", "AUTHOR", "VALUE"}, rows)
}
