package repair

import (
	"slices"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

const (
	// JoinLease is the time for which a join request is valid. It is renewed every JoinInterval.
	JoinLease = 2 * time.Second
	// JoinInterval is the time between two join requests of a controller that is not a voter or has no contact with a
	// leader.
	JoinInterval = 300 * time.Millisecond
	// LeaveLease is the time for which a controller counts as stopping after its last request.
	LeaveLease = time.Second
	// LeaveTimeout bounds the time for which a stopping process waits for its removal. It exceeds an election and two changes of
	// the members; with the transfer of leadership before, it stays below the 6 s in which a process has to end.
	LeaveTimeout = 3 * time.Second
)

// Request is a join request.
type Request struct {
	ID   consensus.MemberID
	Name string
	// Founding is set for a controller that was started together with the whole system and has not been a voter yet.
	Founding bool
	// Losses is the number of controllers that may be lost at once by the settings of the sender; zero if not set.
	Losses int
}

// Requests holds what controllers have asked of this one. Times are those of one steady clock.
type Requests struct {
	joining map[string]receivedRequest // by name
	leaving map[string]time.Duration   // time of the last request, by name
}

type receivedRequest struct {
	Request
	at time.Duration
}

// NewRequests returns an empty Requests.
func NewRequests() *Requests {
	return &Requests{joining: map[string]receivedRequest{}, leaving: map[string]time.Duration{}}
}

// Join records a join request.
func (r *Requests) Join(now time.Duration, request Request) {
	r.joining[request.Name] = receivedRequest{Request: request, at: now}
}

// Leave records that the process of a member is stopping. An earlier join request of it no longer counts.
func (r *Requests) Leave(now time.Duration, name string) {
	r.leaving[name] = now
	delete(r.joining, name)
}

// Group returns the input of Decide: the members with what they have requested, and the controllers that request to
// join. It drops requests that are too old. losses is the number of losses by the settings of this controller.
func (r *Requests) Group(now time.Duration, members []Member, commit uint64, losses int) Group {
	g := Group{Members: members, Commit: commit, Losses: losses}
	for name, at := range r.leaving {
		if now-at > LeaveLease {
			delete(r.leaving, name)
		}
	}
	for name, request := range r.joining {
		if now-request.at > JoinLease {
			delete(r.joining, name)
			continue
		}
		if _, isLeaving := r.leaving[name]; isLeaving {
			continue // a request that was forwarded may arrive later than the one to leave
		}
		g.Losses = max(g.Losses, request.Losses)
		g.Joining = append(g.Joining, Member{ID: request.ID, Name: name})
	}
	slices.SortFunc(g.Joining, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	for i := range g.Members {
		m := &g.Members[i]
		_, m.Leaving = r.leaving[m.Name]
		m.Founding = r.joining[m.Name].Founding
	}
	return g
}
