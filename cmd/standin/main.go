// Command standin emulates the platform, upstreams and callers, for tests and measurements.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	cmd := &cobra.Command{Use: "standin", Short: "Emulate the platform, upstreams and callers, for tests and measurements", SilenceUsage: true, SilenceErrors: true}
	cmd.AddCommand(newCmdPlatform(), newCmdUpstream(), newCmdCaller(), newCmdLayout(), newCmdConverge(), newCmdSlopes())
	return cmd.ExecuteContext(ctx)
}
