package controller

import (
	"slices"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/membership"
	"github.com/greengagelock/greengagelock/internal/model"
)

// sessions holds the nodes that poll this controller, and what the leader has been told of them.
type sessions struct {
	limit int

	mu    sync.Mutex
	nodes map[string]*heldSession
}

// heldSession is the session of one node with this controller.
type heldSession struct {
	announcement model.Announcement
	seen         time.Time
	version      uint64 // of the announcement
	reported     uint64 // version that the leader has; 0 if none
	reportedSeen time.Time
}

func newSessions(limit int) *sessions {
	return &sessions{limit: limit, nodes: map[string]*heldSession{}}
}

// touch takes in an announcement. It reports whether it differs from the last one, and false for
// ok if there are too many sessions.
func (s *sessions) touch(now time.Time, a *model.Announcement) (changed, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.nodes[a.Node]
	if h == nil {
		if len(s.nodes) >= s.limit {
			return false, false
		}
		h = &heldSession{}
		s.nodes[a.Node] = h
	}
	changed = h.version == 0 || !sameOffer(&h.announcement, a)
	if changed || !slices.Equal(h.announcement.Targets, a.Targets) {
		h.version++
	}
	h.announcement, h.seen = *a, now
	return changed, true
}

// sameOffer compares announcements apart from evidence and progress, which change all the time.
func sameOffer(a, b *model.Announcement) bool {
	return a.Incarnation == b.Incarnation && a.VM == b.VM && a.Zone == b.Zone &&
		slices.EqualFunc(a.Targets, b.Targets, func(x, y model.TargetAnnouncement) bool {
			x.Evidence, y.Evidence = model.Evidence{}, model.Evidence{}
			return x == y
		})
}

// reports returns what is new for the leader since the last acknowledged report.
func (s *sessions) reports(now time.Time) []membership.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []membership.Report
	for node, h := range s.nodes {
		if now.Sub(h.seen) > membership.ForgetNodeAfter {
			delete(s.nodes, node)
			continue
		}
		if h.seen.Equal(h.reportedSeen) && h.version == h.reported {
			continue
		}
		r := membership.Report{Node: node, Age: now.Sub(h.seen), Applied: h.announcement.Applied, Revision: h.announcement.Revision}
		if h.version != h.reported {
			a := h.announcement
			r.Announcement = &a
		}
		list = append(list, r)
	}
	return list
}

// acknowledge notes that the leader has taken reports that were made at a time. The sessions in
// missing are reported in full next time.
func (s *sessions) acknowledge(now time.Time, reports []membership.Report, missing []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range reports {
		h := s.nodes[reports[i].Node]
		if h == nil {
			continue
		}
		h.reportedSeen = now.Add(-reports[i].Age)
		if reports[i].Announcement != nil && slices.Equal(reports[i].Announcement.Targets, h.announcement.Targets) &&
			sameOffer(reports[i].Announcement, &h.announcement) {
			h.reported = h.version
		}
	}
	for _, node := range missing {
		if h := s.nodes[node]; h != nil {
			h.reported = 0
			h.reportedSeen = time.Time{}
		}
	}
}

// forgetReports makes the next report complete, for a new leader.
func (s *sessions) forgetReports() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.nodes {
		h.reported, h.reportedSeen = 0, time.Time{}
	}
}

func (s *sessions) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.nodes)
}
