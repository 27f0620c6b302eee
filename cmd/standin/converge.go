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
	convergeLimit = 30 * time.Second
	convergePoll  = time.Millisecond
)

// newCmdConverge returns the command that measures how long accepted changes take to be in force on all nodes.
func newCmdConverge() *cobra.Command {
	var addresses []string
	changes, path, pause := 0, "", time.Duration(0)
	cmd := &cobra.Command{
		Use:   "converge",
		Short: "Make changes and print the times until all nodes run them, in milliseconds: half, 99 in 100, slowest",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var nodes []*client.Client
			for _, text := range addresses {
				address, err := netip.ParseAddrPort(text)
				if err != nil {
					return errors.Wrap(err, "address")
				}
				nodes = append(nodes, client.New(client.Config{Address: address, Token: os.Getenv("TURMERICDALE_TOKEN")}))
			}
			histogram := hdrhistogram.New(1, convergeLimit.Microseconds(), 3)
			for i := range changes {
				if err := converge(cmd.Context(), nodes, i, path, histogram); err != nil {
					return err
				}
				time.Sleep(pause)
			}
			const micros = 1000.0
			_, err := fmt.Printf("%.1f\t%.1f\t%.1f\n", float64(histogram.ValueAtQuantile(50))/micros,
				float64(histogram.ValueAtQuantile(99))/micros, float64(histogram.Max())/micros)
			return errors.Wrap(err, "print")
		},
	}
	cmd.Flags().StringSliceVar(&addresses, "address", nil, "Admin addresses of all nodes")
	cmd.Flags().StringVar(&path, "path", "/teams/catalogue/routes/probe", "Path that is changed")
	cmd.Flags().IntVar(&changes, "changes", 20, "Number of changes")
	cmd.Flags().DurationVar(&pause, "pause", 100*time.Millisecond, "Pause between changes")
	return cmd
}

// converge makes one change at one node and records when each node runs it.
func converge(ctx context.Context, nodes []*client.Client, i int, path string, histogram *hdrhistogram.Histogram) error {
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
			took := awaitRevision(ctx, n, reply.GetRevision(), accepted)
			mu.Lock()
			defer mu.Unlock()
			_ = histogram.RecordValue(took.Microseconds())
		})
	}
	wait.Wait()
	return nil
}

func awaitRevision(ctx context.Context, n *client.Client, revision uint64, accepted time.Time) time.Duration {
	for time.Since(accepted) < convergeLimit {
		if status, err := n.Status(ctx); err == nil && status.GetAppliedRevision() >= revision {
			break
		}
		time.Sleep(convergePoll)
	}
	return min(time.Since(accepted), convergeLimit)
}
