package node

import (
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/cmd/node/check"
	"github.com/turmericdale/turmericdale/pkg/cmd/node/run"
	"github.com/turmericdale/turmericdale/pkg/cmd/node/status"
)

// NewCmdNode returns the commands that run and inspect nodes.
func NewCmdNode(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "node <verb>", Short: "Run and inspect nodes"}
	f.AddClientFlags(cmd)
	cmd.AddCommand(run.NewCmdRun(f, nil), check.NewCmdCheck(f, nil), status.NewCmdStatus(f, nil))
	return cmd
}
