package local

import (
	"net/http"
	"strconv"
	"strings"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	loadFigures     = 3
	maxLoadFigure   = 1_000_000
	maxPacePercent  = 100_000
	loadFiguresPace = 4
)

// observeLoad applies the load that an upstream reports in the header of a response and returns it. Without a report, or if it cannot be
// read, it returns nil: decisions then rest on what is measured.
func (r *Registry) observeLoad(u *upstream, header http.Header) *wirepb.UpstreamLoad {
	name := u.headers.GetLoad()
	if header == nil || name == "" {
		return nil
	}
	load := parseLoad(header.Get(name))
	if load.GetPacePercent() == 0 {
		return nil
	}
	u.limiter.ObservePace(load.GetPacePercent())
	return load
}

// parseLoad parses the calls running, the calls waiting, the slots and, if present, the pace in percent; it returns nil for other text.
func parseLoad(text string) *wirepb.UpstreamLoad {
	fields := strings.Split(text, ",")
	if len(fields) != loadFigures && len(fields) != loadFiguresPace {
		return nil
	}
	figures := make([]uint32, loadFiguresPace)
	for i, f := range fields {
		value, err := strconv.ParseUint(strings.TrimSpace(f), 10, 32)
		if err != nil || value > maxLoadFigure {
			return nil
		}
		figures[i] = uint32(value)
	}
	if figures[3] > maxPacePercent {
		return nil
	}
	return &wirepb.UpstreamLoad{Running: figures[0], Waiting: figures[1], Slots: figures[2], PacePercent: figures[3]}
}
