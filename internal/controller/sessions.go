package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
)

// sessions holds the sessions of the nodes that poll this controller, and what was reported of them to the
// leader.
type sessions struct {
	maxSessions int

	mu    sync.Mutex
	nodes map[string]*heldSession
}

// heldSession is the session between one node and this controller.
type heldSession struct {
	announcement     model.Announcement
	lastSeen         time.Time
	version          uint64 // counts changes of the announcement
	reportedVersion  uint64 // version that the leader has; 0 if it has none
	reportedLastSeen time.Time
}

func newSessions(maxSessions int) *sessions {
	return &sessions{maxSessions: maxSessions, nodes: map[string]*heldSession{}}
}

// recordAnnouncement stores the announcement of a node and extends its session. changed reports whether
// it differs from the last one in more than evidence and progress. ok is false if the node has no session
// yet and the limit is reached.
func (s *sessions) recordAnnouncement(now time.Time, a *model.Announcement) (changed, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.nodes[a.Node]
	if h == nil {
		if len(s.nodes) >= s.maxSessions {
			return false, false
		}
		h = &heldSession{}
		s.nodes[a.Node] = h
	}
	changed = h.version == 0 || !equalExceptProgress(&h.announcement, a)
	if changed || !slices.Equal(h.announcement.Targets, a.Targets) {
		h.version++
	}
	h.announcement, h.lastSeen = *a, now
	return changed, true
}

// equalExceptProgress reports whether two announcements are equal apart from evidence and progress, which
// change all the time.
func equalExceptProgress(a, b *model.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.VM == b.VM && a.Zone == b.Zone &&
		slices.EqualFunc(a.Targets, b.Targets, func(x, y model.TargetAnnouncement) bool {
			x.Evidence, y.Evidence = model.Evidence{}, model.Evidence{}
			return x == y
		})
}

// pendingReports returns a report for every session that changed since the last acknowledged report. It
// drops sessions whose node has not polled for membership.ForgetNodeAfter.
func (s *sessions) pendingReports(now time.Time) []membership.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []membership.Report
	for node, h := range s.nodes {
		if now.Sub(h.lastSeen) > membership.ForgetNodeAfter {
			delete(s.nodes, node)
			continue
		}
		if h.lastSeen.Equal(h.reportedLastSeen) && h.version == h.reportedVersion {
			continue
		}
		r := membership.Report{Node: node, Age: now.Sub(h.lastSeen), Applied: h.announcement.Applied, Revision: h.announcement.Revision}
		if h.version != h.reportedVersion {
			a := h.announcement
			r.Announcement = &a
		}
		list = append(list, r)
	}
	return list
}

// acknowledge records that the leader has received reports that were made at now. The nodes in missing are
// reported with their announcement next time.
func (s *sessions) acknowledge(now time.Time, reports []membership.Report, missing []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range reports {
		h := s.nodes[reports[i].Node]
		if h == nil {
			continue
		}
		h.reportedLastSeen = now.Add(-reports[i].Age)
		if reports[i].Announcement != nil && slices.Equal(reports[i].Announcement.Targets, h.announcement.Targets) &&
			equalExceptProgress(reports[i].Announcement, &h.announcement) {
			h.reportedVersion = h.version
		}
	}
	for _, node := range missing {
		if h := s.nodes[node]; h != nil {
			h.reportedVersion = 0
			h.reportedLastSeen = time.Time{}
		}
	}
}

// resetReported makes the next report include all sessions in full, for a new leader.
func (s *sessions) resetReported() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.nodes {
		h.reportedVersion, h.reportedLastSeen = 0, time.Time{}
	}
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}
