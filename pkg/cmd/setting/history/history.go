package history

import (
	"context"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	Path string
	JSON bool
}

// NewCmdHistory returns the command that shows the changes of a path; runF replaces its run function in tests.
func NewCmdHistory(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "history <path>",
		Short:   "Show the changes of a path, newest first",
		Example: "  turmericdale setting history /teams/orders/services/orders",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Path = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return historyRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func historyRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	list, err := api.History(ctx, opts.Path)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(list)
	}
	var rows [][]string
	for _, c := range list.GetChanges() {
		for _, p := range c.GetPuts() {
			value := p.GetValue()
			if p.GetDelete() {
				value = "(deleted)"
			}
			rows = append(rows, []string{
				strconv.FormatUint(c.GetRevision(), 10), c.GetTime().AsTime().Format(time.RFC3339), c.GetAuthor(), value,
			})
		}
	}
	return f.PrintTable([]string{"REVISION", "TIME", "AUTHOR", "VALUE"}, rows)
}
