package setting

import (
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting/check"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting/get"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting/history"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting/list"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting/set"
)

// NewCmdSetting returns the commands that read and change the settings tree.
func NewCmdSetting(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "setting <verb>", Short: "Read and change settings of your team"}
	f.AddClientFlags(cmd)
	cmd.AddCommand(
		set.NewCmdSet(f, nil), check.NewCmdCheck(f, nil), get.NewCmdGet(f, nil),
		list.NewCmdList(f, nil), history.NewCmdHistory(f, nil),
	)
	return cmd
}
