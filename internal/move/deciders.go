package move

import (
	"context"
	"sort"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/turmericdale/turmericdale/internal/member"
	"github.com/turmericdale/turmericdale/internal/tree"
	"github.com/turmericdale/turmericdale/pkg/wirepb"
)

// ranks returns the deciders of a service, the same on all nodes with the same members.
func (m *Controller) ranks(service *tree.Service) []*member.Upstream {
	byNode := map[string]*member.Upstream{}
	for _, u := range m.cfg.Members.Upstreams(service.Name) {
		byNode[u.Node] = u
	}
	list := make([]*member.Upstream, 0, len(byNode))
	for _, u := range byNode {
		list = append(list, u)
	}
	sort.Slice(list, func(i, j int) bool {
		a, b := xxhash.Sum64String(service.Name+"/"+list[i].Node), xxhash.Sum64String(service.Name+"/"+list[j].Node)
		if a != b {
			return a < b
		}
		return list[i].Node < list[j].Node
	})
	return list[:min(len(list), deciders)]
}

func rankOf(ranks []*member.Upstream, node string) int {
	for i, u := range ranks {
		if u.Node == node {
			return i
		}
	}
	return -1
}

// send reports to the other deciders and learns from their answers.
func (m *Controller) send(ctx context.Context, service *tree.Service, ranks []*member.Upstream, report *wirepb.EvidenceReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, u := range ranks {
		if u.Node == m.cfg.Node {
			continue
		}
		wait.Go(func() {
			reply, err := m.cfg.SendReport(ctx, u.PeerAddress, report)
			m.noteAnswer(service, u.Node, err == nil)
			for _, v := range reply.GetVerdicts() {
				m.cfg.Verdicts.Merge(v)
			}
			m.cfg.Monitor.UpdateBaselines(service, reply.GetBaselines())
		})
	}
	wait.Wait()
}

func (m *Controller) noteAnswer(service *tree.Service, node string, answered bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.MoveRecord.GetDeclaredRevision())
	if answered {
		delete(movement.silent, node)
	} else {
		movement.silent[node] = true
	}
}

// leads reports whether all deciders before this node are silent.
func (m *Controller) leads(service *tree.Service, ranks []*member.Upstream) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	movement := m.movementOf(service.Name, service.MoveRecord.GetDeclaredRevision())
	for _, u := range ranks {
		if u.Node == m.cfg.Node {
			return true
		}
		if !movement.silent[u.Node] {
			return false
		}
	}
	return false
}
