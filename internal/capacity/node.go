package capacity

import (
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// fakeNode is a node without a data path. It records when each revision came into force at it.
type fakeNode struct {
	mu           sync.Mutex
	announcement model.Announcement
	view         *model.View
	applied      map[model.Revision]time.Time
}

func newFakeNode(a model.Announcement) *fakeNode {
	return &fakeNode{announcement: a, view: model.NewView(), applied: map[model.Revision]time.Time{}}
}

// Announcement implements node.Handler. The evidence of the targets changes with every call, as for an
// agent under load.
func (n *fakeNode) Announcement() model.Announcement {
	n.mu.Lock()
	defer n.mu.Unlock()
	a := n.announcement
	a.Targets = append([]model.TargetAnnouncement(nil), a.Targets...)
	for i := range a.Targets {
		n.announcement.Targets[i].Evidence.OpenFlows++
		n.announcement.Targets[i].Evidence.HandshakesOK++
	}
	return a
}

// ApplyView implements node.Handler.
func (n *fakeNode) ApplyView(v *model.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = v
	if _, isApplied := n.applied[v.Revision]; !isApplied {
		n.applied[v.Revision] = time.Now()
	}
}

// appliedAt returns when a revision came into force at the node, or the zero time if it has not.
func (n *fakeNode) appliedAt(revision model.Revision) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied[revision]
}

func newFakeAgent(i, services int) *fakeNode {
	return newFakeNode(model.Announcement{VM: vmName(i), Zone: zoneName(i), Targets: []model.TargetAnnouncement{{
		Service: serviceName(i % services), Agent: agentAddress(i), Slots: slotsPerTarget, MaxConns: connsPerTarget,
		Evidence: model.Evidence{EndpointHealthy: true},
	}}})
}
