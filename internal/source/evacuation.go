package source

import (
	"github.com/turmericdale/turmericdale/internal/oplog"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// evacuationValue is the value of an evacuation in the tree.
const evacuationValue = "{}"

// fullRead is a read of the whole table.
type fullRead struct {
	// present holds the keys of the rows that were found, version the newest version of the store when the first page was read.
	present map[string]bool
	version uint64
}

// removeMissingEvacuations treats evacuations whose rows the newest full read of the table did not find as removed at the version of its
// first page. Another node may have imported the row, so that the evacuations of the tree count as well.
func (i *Importer) removeMissingEvacuations() {
	if i.fullRead == nil || !i.isMissingRowRemoved() {
		return
	}
	for dataCentre := range i.cfg.Log.State().Evacuated {
		i.removeMissing(platform.EvacuationKey(dataCentre))
	}
	for key, row := range i.rows {
		if platform.IsEvacuation(row) && !row.GetDeleted() {
			i.removeMissing(key)
		}
	}
	i.fullRead = nil
}

func (i *Importer) removeMissing(key string) {
	if !i.fullRead.present[key] && i.rows[key].GetVersion() < i.fullRead.version {
		i.rows[key] = &wirepb.Row{Table: platform.OperatorTable, Key: key, Version: i.fullRead.version, Deleted: true}
		i.readAt[key] = i.cfg.Now()
	}
}

// isEvacuationProcessed reports whether nothing is to be done for a row: it was removed and its evacuation is not in force, or no
// configuration has been imported. As the first revision, an evacuation would make nodes ready that have no routes.
func isEvacuationProcessed(state *tree.State, row *wirepb.Row) bool {
	if state.OperatorConfigVersion == 0 {
		return true
	}
	return row.GetDeleted() && !isOperatorEvacuation(state, row)
}

// isOperatorEvacuation reports whether the evacuation of a row is in force and was imported: an administrator may order one, too.
func isOperatorEvacuation(state *tree.State, row *wirepb.Row) bool {
	return state.Entry(tree.EvacuationPath(platform.EvacuatedDataCentre(row))).GetAuthor() == operatorAuthor
}

// evacuationFunc returns the function that starts or ends the evacuation that a row orders.
func (i *Importer) evacuationFunc(row *wirepb.Row) (oplog.BuildFunc, error) {
	path := tree.EvacuationPath(platform.EvacuatedDataCentre(row))
	if _, err := tree.ParsePath(path); err != nil {
		return nil, err
	}
	put := &wirepb.Put{Path: path, Delete: true}
	if !row.GetDeleted() {
		if err := platform.CheckEvacuation(row); err != nil {
			return nil, err
		}
		put = &wirepb.Put{Path: path, Value: evacuationValue}
	}
	return func(state *tree.State) (*wirepb.Change, error) {
		if isEvacuationProcessed(state, row) || state.MoveOrderVersions[row.GetKey()] >= i.position(row) {
			return nil, &AlreadyAppliedError{Key: row.GetKey(), Version: row.GetVersion()}
		}
		change := i.newChange(state)
		change.Puts, change.Order = []*wirepb.Put{put}, &wirepb.OrderMark{Row: row.GetKey(), Version: i.position(row)}
		return change, nil
	}, nil
}
