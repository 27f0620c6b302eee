package configuration

import (
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/configuration/check"
	"github.com/turmericdale/turmericdale/pkg/cmd/configuration/diff"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// NewCmdConfiguration returns the commands that look at an operator's configuration before it is sent.
func NewCmdConfiguration(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{Use: "configuration <verb>", Short: "Check and compare operators' configurations"}
	cmd.AddCommand(check.NewCmdCheck(f, nil), diff.NewCmdDiff(f, nil))
	return cmd
}
