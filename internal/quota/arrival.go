package quota

import (
	"time"

	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

const (
	// newDuration is how long a node that was not known before does not count as a voter. Many nodes may join within a second; counted at
	// once, they would lower the weight of all votes until they vote themselves.
	newDuration = 5 * time.Second
	// matureAge is the age from which a node's votes are accepted, a process is preferred as owner, and a node takes others for new. It
	// exceeds newDuration by the time in which all nodes learn of one that has joined.
	matureAge = newDuration + 1500*time.Millisecond
)

// arrivals holds when a node has first seen the others.
type arrivals struct {
	joined   bool
	joinedAt time.Duration
	seenAt   map[string]time.Duration
}

// Classify marks the members that joined of late; wall is the time of day.
func (s *Stock) Classify(now Reading, wall time.Time, members []Member, joined bool) []Member {
	a := &s.arrivals
	if joined && !a.joined {
		a.joined, a.joinedAt = true, now.Slow
	}
	mature := a.joined && now.Slow-a.joinedAt >= matureAge
	hasOldProcess := false
	for _, m := range members {
		hasOldProcess = hasOldProcess || m.Live && !m.Started.IsZero() && wall.Sub(m.Started) >= matureAge
	}
	seenAt := make(map[string]time.Duration, len(members))
	classified := make([]Member, 0, len(members))
	for _, m := range members {
		at, known := a.seenAt[m.Name]
		if !known {
			at = now.Slow
		}
		seenAt[m.Name] = at
		m.New = mature && m.Name != s.cfg.Node && now.Slow-at < newDuration
		m.Unproven = mature && m.Name != s.cfg.Node && now.Slow-at < matureAge
		m.Young = hasOldProcess && wall.Sub(m.Started) < matureAge
		classified = append(classified, m)
	}
	a.seenAt = seenAt
	return classified
}

// WithoutUnprovenVote returns a request without its vote if the sender joined so recently that others may not count it yet.
func (s *Stock) WithoutUnprovenVote(request *wirepb.QuotaRequest) *wirepb.QuotaRequest {
	if !s.view.member(request.GetNode()).Unproven {
		return request
	}
	for _, need := range request.GetNeeds() {
		if _, isShard := parseShard(need.GetWorkspace()); isShard {
			need.Tokens = 0
		}
	}
	return request
}
