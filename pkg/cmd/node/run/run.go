package run

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/conf"
	"github.com/turmericdale/turmericdale/internal/logs"
	"github.com/turmericdale/turmericdale/internal/node"
	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
)

// Options are the inputs of the command.
type Options struct {
	SettingsFile string
	// GracePeriod is the time from SIGTERM to SIGKILL, with its unit; it is empty if not known.
	GracePeriod string
}

// GracePeriodError says that a grace period cannot be used.
type GracePeriodError struct {
	Value string
}

func (e *GracePeriodError) Error() string {
	return fmt.Sprintf("flag --grace-period has value %q: must be a duration above 0 such as 10s", e.Value)
}

// NewCmdRun returns the command that runs a node; runF replaces its run function in tests.
func NewCmdRun(_ *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:     "run",
		Short:   "Run a node",
		Long:    "Run a node, the sidecar of an upstream. On SIGTERM it waits for calls in flight, up to stop_timeout or the end of the grace period, and stops.",
		Example: "  turmericdale node run --settings examples/gnomon/node.jsonc",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return runRun(cmd.Context(), opts)
		},
	}
	cmd.Flags().StringVar(&opts.SettingsFile, "settings", "", "Settings file in JSON with comments")
	cmd.Flags().StringVar(&opts.GracePeriod, "grace-period", "", "Time after SIGTERM at which the process is killed, such as 10s; shortens stop_timeout and leave_time to fit")
	_ = cmd.MarkFlagRequired("settings")
	return cmd
}

func runRun(ctx context.Context, opts *Options) error {
	settings, err := conf.Load(opts.SettingsFile)
	if err != nil {
		return err
	}
	gracePeriod, err := parseGracePeriod(opts.GracePeriod)
	if err != nil {
		return err
	}
	logger, sink := logs.New(os.Stdout)
	defer sink.Close()
	memory, err := machineMemory()
	if err != nil && settings.MemoryLimitBytes == 0 {
		logger.Warn("memory for callers is not limited: set memory_limit_bytes", zap.Error(err))
	}
	applyRuntimeLimits(settings.WithMachineMemory(memory))
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	go newReloader(opts.SettingsFile, settings, memory, logger).reloadLoop(ctx)
	n, err := node.New(settings.WithMachineMemory(memory).WithGracePeriod(gracePeriod), logger, sink)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// parseGracePeriod returns zero for an empty text; it returns *GracePeriodError.
func parseGracePeriod(text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	period, err := time.ParseDuration(text)
	if err != nil || period <= 0 {
		return 0, &GracePeriodError{Value: text}
	}
	return period, nil
}
