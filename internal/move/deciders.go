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

// rankedDeciders returns the deciders of a service in order of rank, the same on all nodes that know the same members.
func (c *Controller) rankedDeciders(service *tree.Service) []*member.Upstream {
	byNode := map[string]*member.Upstream{}
	for _, u := range c.cfg.Members.Upstreams(service.Name) {
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
	return list[:min(len(list), maxDeciders)]
}

func rankOf(deciders []*member.Upstream, node string) int {
	for i, u := range deciders {
		if u.Node == node {
			return i
		}
	}
	return -1
}

// sendReport sends a report to the other deciders and applies the verdicts and baselines of their replies.
func (c *Controller) sendReport(ctx context.Context, service *tree.Service, deciders []*member.Upstream, report *wirepb.EvidenceReport) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, u := range deciders {
		if u.Node == c.cfg.Node {
			continue
		}
		wait.Go(func() {
			reply, err := c.cfg.SendReport(ctx, u.PeerAddress, report)
			c.recordReply(service, u.Node, err == nil)
			for _, v := range reply.GetVerdicts() {
				c.cfg.Verdicts.Merge(v)
			}
			c.adoptThresholds(service, reply.GetBaselines())
			c.cfg.Monitor.UpdateBaselines(service, reply.GetBaselines())
		})
	}
	wait.Wait()
}

// adoptThresholds takes over the thresholds for slow calls that another decider knows, on the routes for which this node has none
// because it became a decider after they were set.
func (c *Controller) adoptThresholds(service *tree.Service, baselines []*wirepb.RouteBaseline) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracker := c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision())
	for _, b := range baselines {
		if known := tracker.baselines[b.GetRoute()]; known.GetSlow() == nil && b.GetSlow() != nil {
			tracker.baselines[b.GetRoute()] = b
		}
	}
}

func (c *Controller) recordReply(service *tree.Service, node string, replied bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracker := c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision())
	if replied {
		delete(tracker.unresponsive, node)
	} else {
		tracker.unresponsive[node] = true
	}
}

// isLeadDecider reports whether this node is a decider and all deciders before it are unresponsive.
func (c *Controller) isLeadDecider(service *tree.Service, deciders []*member.Upstream) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	tracker := c.trackerFor(service.Name, service.MoveRecord.GetDeclaredRevision())
	for _, u := range deciders {
		if u.Node == c.cfg.Node {
			return true
		}
		if !tracker.unresponsive[u.Node] {
			return false
		}
	}
	return false
}
