package status

import (
	"context"
	"strconv"
	"strings"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// Options are the inputs of the command.
type Options struct {
	JSON bool
}

// NewCmdStatus returns the command that shows the status of a node; runF replaces its run function in tests.
func NewCmdStatus(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "status",
		Short:   "Show the status of a node and a summary of the nodes below it",
		Example: "  turmericdale node status --node 127.0.0.1:7003 --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return statusRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.JSON, "json", false, "Print JSON")
	return cmd
}

func statusRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	status, err := api.Status(ctx)
	if err != nil {
		return err
	}
	if opts.JSON {
		return f.PrintJSON(status)
	}
	return f.PrintTable([]string{"FIELD", "VALUE"}, statusRows(status))
}

func statusRows(s *wirepb.NodeStatus) [][]string {
	list := [][]string{
		{"name", s.GetName()},
		{"data_centre", s.GetRegion() + "/" + s.GetDataCentre()},
		{"applied_revision", strconv.FormatUint(s.GetAppliedRevision(), 10)},
		{"known_revision", strconv.FormatUint(s.GetKnownRevision(), 10)},
		{"refused", s.GetRefusedReason()},
		{"relay", strconv.FormatBool(s.GetRelay())},
		{"platform_up", strconv.FormatBool(s.GetPlatformUp())},
		{"members", strconv.FormatUint(uint64(s.GetMembers()), 10)},
		{"links", strconv.FormatUint(uint64(s.GetLinks()), 10)},
		{"evacuated", strings.Join(s.GetEvacuated(), " ")},
		{"subtree_nodes", strconv.FormatUint(uint64(s.GetSubtreeNodes()), 10)},
		{"subtree_oldest_revision", strconv.FormatUint(s.GetSubtreeOldestRevision(), 10)},
		{"subtree_refusals", strings.Join(s.GetSubtreeRefusals(), "; ")},
	}
	for _, u := range s.GetUpstreams() {
		row := u.GetService() + " " + u.GetVersion() + " " + u.GetAddress() +
			" " + strconv.FormatUint(uint64(u.GetInFlight()), 10) + "/" + strconv.FormatUint(uint64(u.GetSlots()), 10)
		if u.GetCold() {
			row += " cold"
		}
		list = append(list, []string{"upstream", row})
	}
	return list
}
