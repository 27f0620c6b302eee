package set

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Options are the inputs of the command.
type Options struct {
	Path   string
	Value  string
	File   string
	Delete bool
	// IfRevision is the expected revision of the path, 0 if the path must not exist, or negative to skip the comparison.
	IfRevision  int64
	OperationID string
	DryRun      bool
	JSON        bool
}

// NewCmdSet returns the command that changes settings; runF replaces its run function in tests.
func NewCmdSet(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:   "set [<path> <value>]",
		Short: "Change one path, or several at once from a file",
		Long: `Change one path, or several at once from a file. All edits are accepted, or none.

The file holds JSON with comments: {"edits": [{"path": "/teams/...", "value": "{...}"}]}.`,
		Example: `  turmericdale setting set /teams/orders/services/orders '{"version": "v1"}'
  turmericdale setting set /teams/orders/moves/orders '{"version": "v2", "deadline": "2027-01-01T12:00:00Z"}' --if-revision 0
  turmericdale setting set --file changes.jsonc`,
		Args: cobra.MaximumNArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			if err := opts.complete(args); err != nil {
				return err
			}
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return Run(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().StringVar(&opts.File, "file", "", "Read the edits from a file, or - for standard input")
	cmd.Flags().BoolVar(&opts.Delete, "delete", false, "Delete the path")
	cmd.Flags().Int64Var(&opts.IfRevision, "if-revision", -1, "Change the path only if it has this revision; 0 if it must not exist")
	cmd.Flags().StringVar(&opts.OperationID, "operation", "", "Operation id of an earlier attempt whose outcome is unknown")
	cmd.Flags().BoolVar(&opts.DryRun, "dry-run", false, "Check the change without applying it")
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func (o *Options) complete(args []string) error {
	switch {
	case o.File != "" && len(args) == 0:
	case o.File == "" && o.Delete && len(args) == 1:
		o.Path = args[0]
	case o.File == "" && !o.Delete && len(args) == 2:
		o.Path, o.Value = args[0], args[1]
	default:
		return &factory.FlagError{Detail: "specify a path and a value, a path with --delete, or --file"}
	}
	return nil
}

// Run submits the change, or only checks it on a dry run.
func Run(ctx context.Context, f *factory.Factory, opts *Options) error {
	request, err := opts.changeRequest(f.In)
	if err != nil {
		return err
	}
	api, err := f.Client()
	if err != nil {
		return err
	}
	reply, err := api.Change(ctx, request)
	if err != nil {
		return errors.WithMessage(err, "operation "+request.GetOperationId())
	}
	switch {
	case opts.JSON:
		return f.PrintJSON(reply)
	case opts.DryRun:
		f.Infof("the change would be accepted")
		return nil
	}
	_, err = fmt.Fprintln(f.Out, reply.GetRevision())
	return errors.Wrap(err, "print revision")
}

func (o *Options) changeRequest(in io.Reader) (*wirepb.ChangeRequest, error) {
	request := &wirepb.ChangeRequest{}
	if o.File != "" {
		if err := readEdits(o.File, in, request); err != nil {
			return nil, err
		}
	} else {
		edit := &wirepb.Edit{Path: o.Path, Value: o.Value, Delete: o.Delete}
		if o.IfRevision >= 0 {
			edit.Compare, edit.IfRevision = true, uint64(o.IfRevision)
		}
		request.Edits = []*wirepb.Edit{edit}
	}
	request.DryRun, request.OperationId = o.DryRun, o.OperationID
	if request.OperationId == "" {
		request.OperationId = uuid.NewString()
	}
	return request, nil
}

func readEdits(file string, in io.Reader, request *wirepb.ChangeRequest) error {
	text, err := readFile(file, in)
	if err != nil {
		return &factory.FlagError{Detail: "read file: " + err.Error()}
	}
	plain, err := hujson.Standardize(text)
	if err == nil {
		err = protojson.Unmarshal(plain, request)
	}
	if err != nil {
		return &factory.FlagError{Detail: file + " is not a valid list of edits: " + err.Error()}
	}
	return nil
}

func readFile(file string, in io.Reader) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(in)
	}
	return os.ReadFile(file)
}
