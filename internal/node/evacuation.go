package node

import (
	"context"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// watchEvacuations logs the start and the end of each evacuation on this node until the context ends.
func (n *Node) watchEvacuations(ctx context.Context) {
	logged := map[string]bool{}
	for {
		changed := n.log.Changed()
		n.logEvacuations(logged, n.log.State().Evacuated)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// logEvacuations logs the evacuations that differ from those that were logged, which it updates.
func (n *Node) logEvacuations(logged, evacuated map[string]bool) {
	for dataCentre := range evacuated {
		if !logged[dataCentre] {
			logged[dataCentre] = true
			nodes := n.members.Select(func(r *wirepb.MemberRecord) bool { return r.GetDataCentre() == dataCentre })
			n.logger.Info("evacuation of data centre started", zap.String("data_centre", dataCentre), zap.Int("nodes", len(nodes)),
				zap.Bool("own", dataCentre == n.settings.DataCentre))
		}
	}
	for dataCentre := range logged {
		if !evacuated[dataCentre] {
			delete(logged, dataCentre)
			n.logger.Info("evacuation of data centre ended", zap.String("data_centre", dataCentre), zap.Bool("own", dataCentre == n.settings.DataCentre))
		}
	}
}
