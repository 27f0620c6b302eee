package wait

import (
	"context"
	"time"

	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/cmd/factory"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const pollInterval = 500 * time.Millisecond

// Options are the inputs of the command.
type Options struct {
	Service    string
	UntilMoved bool
	Timeout    time.Duration
}

// NewCmdWait returns the command that waits for the end of a move; runF replaces its run function in tests.
func NewCmdWait(f *factory.Factory, runF func(ctx context.Context, opts *Options) error) *cobra.Command {
	opts := &Options{}
	cmd := &cobra.Command{
		Use:   "wait <service>",
		Short: "Wait until a move is done or taken back",
		Long: `Wait until a move is done or taken back, and show its progress.

Exit code 3 means that the move was taken back, 4 that the wait timed out.`,
		Example: "  turmericdale move wait orders --timeout 10m",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			opts.Service = args[0]
			if runF != nil {
				return runF(cmd.Context(), opts)
			}
			return waitRun(cmd.Context(), f, opts)
		},
	}
	cmd.Flags().BoolVar(&opts.UntilMoved, "moved", false, "Return as soon as all calls go to the new version, before the watch ends")
	cmd.Flags().DurationVar(&opts.Timeout, "timeout", time.Hour, "Maximum time to wait")
	return cmd
}

func waitRun(ctx context.Context, f *factory.Factory, opts *Options) error {
	api, err := f.Client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(opts.Timeout)
	lastLine := ""
	for {
		record, err := api.Move(ctx, opts.Service)
		if err != nil {
			return err
		}
		// Index 4 of the row is the share.
		if line := factory.MoveState(record) + " " + factory.MoveRow(record)[4]; line != lastLine {
			f.Infof("%s %s", opts.Service, line)
			lastLine = line
		}
		if ended, err := opts.ended(record); ended {
			return err
		}
		if time.Now().After(deadline) {
			return &factory.WaitTimeoutError{Service: opts.Service}
		}
		if err := sleep(ctx); err != nil {
			return err
		}
	}
}

func (o *Options) ended(record *wirepb.MoveRecord) (bool, error) {
	switch record.GetState() {
	case wirepb.MoveState_MOVE_STATE_TAKEN_BACK:
		return true, &factory.TakenBackError{Service: o.Service, Reason: record.GetReason()}
	case wirepb.MoveState_MOVE_STATE_DONE:
		return true, nil
	case wirepb.MoveState_MOVE_STATE_WATCHING:
		return o.UntilMoved, nil
	default:
		return false, nil
	}
}

func sleep(ctx context.Context) error {
	timer := time.NewTimer(pollInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
