package get

import (
	"context"
	"fmt"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	Path    string
	InForce bool
	JSON    bool
}

// NewCmdGet returns the command that reads one path; runF replaces its run function in tests.
func NewCmdGet(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "get <path>",
		Short:   "Read one path",
		Example: "  turmericdale setting get /teams/orders/services/orders --json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Path = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return getRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.InForce, "in-force", false, "Read from the configuration that the node runs, even while the platform is down")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON with revision and author")
	return cmd
}

func getRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	entry, err := api.Entry(ctx, opts.Path, opts.InForce)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(entry)
	}
	_, err = fmt.Fprintln(f.Out, entry.GetValue())
	return errors.Wrap(err, "print value")
}
