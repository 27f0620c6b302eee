package root

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/configuration"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/cmd/move"
	"github.com/turmericdale/turmericdale/pkg/cmd/node"
	"github.com/turmericdale/turmericdale/pkg/cmd/setting"
	"github.com/turmericdale/turmericdale/pkg/cmd/version"
)

// NewCmdRoot returns the root command.
func NewCmdRoot(f *factory.Factory) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "turmericdale <noun> <verb>",
		Short: "Distribute configuration to the proxies of a service mesh",
		Long: `Distribute configuration to the proxies of a service mesh.

Exit codes: 0 success, 1 error, 2 cancelled, 3 a move was taken back, 4 the wait for a move timed out.`,
		SilenceErrors: true,
		SilenceUsage:  true,
	}
	cmd.SetOut(f.Out)
	cmd.SetErr(f.ErrOut)
	cmd.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return &factory.FlagError{Detail: err.Error()}
	})
	cmd.AddCommand(node.NewCmdNode(f), configuration.NewCmdConfiguration(f), setting.NewCmdSetting(f), move.NewCmdMove(f), version.NewCmdVersion(f))
	return cmd
}

// Main runs the command line and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd, err := NewCmdRoot(factory.New()).ExecuteContextC(ctx)
	var flag *factory.FlagError
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	if errors.As(err, &flag) {
		fmt.Fprintln(os.Stderr, "\n"+cmd.UsageString())
	}
	return factory.ExitCode(err)
}
