package source

import (
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
	"github.com/turmericdale/turmericdale/platform"
)

// StatusRows returns the rows that report to the operator the states that a change gives to ordered moves.
func StatusRows(change *wirepb.Change) ([]*wirepb.Row, error) {
	var rows []*wirepb.Row
	for _, p := range change.GetPuts() {
		path, err := tree.ParsePath(p.GetPath())
		if err != nil || path.Kind != tree.KindMoveRecord || p.GetDelete() {
			continue
		}
		_, message, err := tree.Decode(p.GetPath(), p.GetValue())
		if err != nil {
			return nil, err
		}
		record, isRecord := message.(*wirepb.MoveRecord)
		if !isRecord || record.GetOrder() == 0 {
			continue
		}
		row, err := platform.StatusRow(record)
		if err != nil {
			return nil, err
		}
		rows = append(rows, row)
	}
	return rows, nil
}
