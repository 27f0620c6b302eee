package version

import (
	"fmt"
	"runtime/debug"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// NewCmdVersion returns the command that prints the version.
func NewCmdVersion(f *factory.Factory) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version",
		Args:  cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			_, err := fmt.Fprintln(f.Out, "turmericdale", buildVersion())
			return errors.Wrap(err, "print version")
		},
	}
}

func buildVersion() string {
	info, found := debug.ReadBuildInfo()
	if !found || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
