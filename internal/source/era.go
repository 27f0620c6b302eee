package source

import (
	"time"

	"go.uber.org/zap"

	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

const (
	// rewriteDuration is how long after a new era of the store the operator may take to write its lost rows again; it takes seconds.
	rewriteDuration = time.Minute
	// missingRowDelay is how long after the log was established in a new era a row that the restored copy lacks does not count as removed.
	missingRowDelay = 10 * time.Second
	// minFeedWait is the shortest wait for changes.
	minFeedWait = 100 * time.Millisecond
)

// enterEra forgets the rows of an earlier era of the store, whose versions are assigned again.
func (i *Importer) enterEra(era uint64) {
	i.cfg.Logger.Info("operator table is read in a new era of the store", zap.Uint64("era", era), zap.Uint64("previous", i.era))
	i.era, i.eraSince, i.cursor = era, i.cfg.Now(), 0
	i.rows, i.readAt, i.invalid = map[string]*wirepb.Row{}, map[string]time.Time{}, map[string]uint64{}
}

// position returns the position of a row's version in the order of all versions of all eras.
func (i *Importer) position(row *wirepb.Row) uint64 {
	return platform.Position(i.era, row.GetVersion())
}

// isRepeated reports whether an order repeats the one of an earlier era that declared the service's newest move: the operator writes again
// what a restored copy lacks. A version that was taken back can be ordered again once the operator has had time for that.
func (i *Importer) isRepeated(state *tree.State, order platform.MoveOrder) bool {
	service, found := state.Services[order.Service]
	if !found || i.era == 0 {
		return false
	}
	record := service.MoveRecord
	if record.GetOrder() == 0 || record.GetTo() != order.TargetVersion || platform.PositionEra(record.GetOrder()) >= i.era {
		return false
	}
	return record.GetState() != wirepb.MoveState_MOVE_STATE_TAKEN_BACK || i.cfg.Now().Sub(i.eraSince) < rewriteDuration
}

// isMissingRowRemoved reports whether a row that the table lacks counts as removed by the operator. In a new era the restored copy may lack
// it, and the operator writes it again.
func (i *Importer) isMissingRowRemoved() bool {
	era, established := i.cfg.Log.EstablishedEra()
	return i.era == 0 || era >= i.era && i.cfg.Now().Sub(established) >= missingRowDelay
}

// untilMissingRowsCount returns the time until missing rows count as removed, if they do not yet.
func (i *Importer) untilMissingRowsCount() (time.Duration, bool) {
	if i.era == 0 || i.isMissingRowRemoved() {
		return 0, false
	}
	_, established := i.cfg.Log.EstablishedEra()
	return missingRowDelay - i.cfg.Now().Sub(established), true
}
