package capacity

import (
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// standinNode is a node without a data path. It notes when it has a revision in force.
type standinNode struct {
	mu           sync.Mutex
	announcement model.Announcement
	view         *model.View
	applied      map[model.Revision]time.Time
}

func newStandinNode(a model.Announcement) *standinNode {
	return &standinNode{announcement: a, view: model.NewView(), applied: map[model.Revision]time.Time{}}
}

// Announcement implements node.Handler. The evidence changes with every poll, as that of an agent
// under load.
func (n *standinNode) Announcement() model.Announcement {
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
func (n *standinNode) ApplyView(v *model.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.view = v
	if _, known := n.applied[v.Revision]; !known {
		n.applied[v.Revision] = time.Now()
	}
}

// at returns when a revision was in force, or the zero time.
func (n *standinNode) at(revision model.Revision) time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.applied[revision]
}

func standinAgent(i, services int) *standinNode {
	return newStandinNode(model.Announcement{VM: vmName(i), Zone: zoneName(i), Targets: []model.TargetAnnouncement{{
		Service: serviceName(i % services), Agent: agentAddress(i), Slots: slotsPerTarget, MaxConns: connsPerTarget,
		Evidence: model.Evidence{EndpointHealthy: true},
	}}})
}
