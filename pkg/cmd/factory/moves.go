package factory

import (
	"strconv"
	"strings"
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// MoveHeadings are the column headings of MoveRow.
var MoveHeadings = []string{"SERVICE", "FROM", "TO", "STATE", "SHARE", "DEADLINE", "LATE", "REASON"}

// MoveRow returns the columns of a move.
func MoveRow(r *wirepb.MoveRecord) []string {
	return []string{
		r.GetService(), r.GetFrom(), r.GetTo(), MoveState(r),
		strconv.FormatFloat(float64(r.GetSharePermille())/10, 'f', 1, 64) + "%",
		r.GetDeadline().AsTime().Format(time.RFC3339), strconv.FormatBool(r.GetLate()), r.GetReason(),
	}
}

// MoveState returns the state of a move in lower case, for example taken_back.
func MoveState(r *wirepb.MoveRecord) string {
	return strings.ToLower(strings.TrimPrefix(r.GetState().String(), "MOVE_STATE_"))
}
