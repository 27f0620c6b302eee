package move

import (
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/cmd/move/list"
	"github.com/turmericdale/turmericdale/pkg/cmd/move/takeback"
	"github.com/turmericdale/turmericdale/pkg/cmd/move/view"
	"github.com/turmericdale/turmericdale/pkg/cmd/move/wait"
)

// NewCmdMove returns the commands that follow moves and take them back.
func NewCmdMove(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "move <verb>", Short: "Follow moves between versions and take them back"}
	f.AddClientFlags(cmd)
	cmd.AddCommand(list.NewCmdList(f, nil), view.NewCmdView(f, nil), wait.NewCmdWait(f, nil), takeback.NewCmdTakeBack(f, nil))
	return cmd
}
