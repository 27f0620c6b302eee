package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
	"github.com/spf13/cobra"

	"github.com/turmericdale/turmericdale/pkg/client"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	convergeTimeout    = 30 * time.Second
	statusPollInterval = time.Millisecond
)

// newCmdConverge returns the command that measures how long nodes take to apply accepted changes.
func newCmdConverge() *cobra.Command {
	var addresses []string
	changes, path, pause := 0, "", time.Duration(0)
	cmd := &cobra.Command{
		Use:   "converge",
		Short: "Make changes and print the 50th and 99th percentile and the maximum of the times until each node applies them, in milliseconds",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var nodes []*client.Client
			for _, text := range addresses {
				address, err := netip.ParseAddrPort(text)
				if err != nil {
					return errors.Wrap(err, "parse --address")
				}
				nodes = append(nodes, client.New(client.Config{Address: address, Token: os.Getenv("TURMERICDALE_TOKEN")}))
			}
			histogram := hdrhistogram.New(1, convergeTimeout.Microseconds(), 3)
			for i := range changes {
				if err := measureChange(cmd.Context(), nodes, i, path, histogram); err != nil {
					return err
				}
				time.Sleep(pause)
			}
			const microsPerMilli = 1000.0
			_, err := fmt.Printf("%.1f\t%.1f\t%.1f\n", float64(histogram.ValueAtQuantile(50))/microsPerMilli,
				float64(histogram.ValueAtQuantile(99))/microsPerMilli, float64(histogram.Max())/microsPerMilli)
			return errors.Wrap(err, "print times")
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "address", nil, "Admin addresses of the nodes")
	cmd.Flags().StringVar(&path, "path", "/teams/catalogue/routes/probe", "Path of the route that is changed")
	cmd.Flags().IntVar(&changes, "changes", 20, "Number of changes")
	cmd.Flags().DurationVar(&pause, "pause", 100*time.Millisecond, "Pause between changes")
	return cmd
}

// measureChange makes one change at one node and records how long each node takes to apply it.
func measureChange(ctx context.Context, nodes []*client.Client, i int, path string, histogram *hdrhistogram.Histogram) error {
	value := fmt.Sprintf(`{"path_prefix": "/probe%d", "service": "archive"}`, i)
	reply, err := nodes[i%len(nodes)].Change(ctx, &wirepb.ChangeRequest{Edits: []*wirepb.Edit{{Path: path, Value: value}}})
	if err != nil {
		return err
	}
	accepted := time.Now()
	var mu sync.Mutex
	var wait sync.WaitGroup
	for _, n := range nodes {
		wait.Go(func() {
			latency := awaitRevision(ctx, n, reply.GetRevision(), accepted)
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(latency.Microseconds())
		})
	}
	wait.Wait()
	return nil
}

// awaitRevision waits until a node applies a revision and returns the time since the change was accepted, at most convergeTimeout.
func awaitRevision(ctx context.Context, n *client.Client, revision uint64, accepted time.Time) time.Duration {
	for time.Since(accepted) < convergeTimeout {
		if status, err := n.Status(ctx); err == nil && status.GetAppliedRevision() >= revision {
			break
		}
		time.Sleep(statusPollInterval)
	}
	return min(time.Since(accepted), convergeTimeout)
}
