package node

import (
	"context"
	"time"

	"go.uber.org/zap"
)

const (
	stallCheckInterval = 100 * time.Millisecond
	// minLoggedStall is how late a check must be for the process to count as having stood still.
	minLoggedStall = 200 * time.Millisecond
)

// watchStalls logs each time in which the process got no processor time, or too little to run its timers.
func (n *Node) watchStalls(ctx context.Context) {
	ticker := time.NewTicker(stallCheckInterval)
	defer ticker.Stop()
	for last := n.now(); ; {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := n.now()
		if late := now.Sub(last) - stallCheckInterval; late >= minLoggedStall {
			n.logger.Info("process stood still", zap.Duration("for", late))
		}
		last = now
	}
}
