package controller

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
)

// lostAfter is the time without contact after which the leader considers a member lost. It exceeds two election timeouts.
const lostAfter = 1500 * time.Millisecond

func isLost(m *replica.Member) bool { return !m.Leader && m.ContactAge > lostAfter }

// isRunning reports whether the member is known to run. One that the leader has not heard yet is neither lost nor running.
func isRunning(m *replica.Member) bool { return m.Leader || m.Heard && !isLost(m) }

// voterCounts counts the voters of a group, as its leader sees them.
type voterCounts struct{ all, running, lost int }

// countVoters counts the voters without the named one.
func countVoters(members []replica.Member, without string) (n voterCounts) {
	for i := range members {
		m := &members[i]
		if m.Learner || m.Name == without {
			continue
		}
		n.all++
		if isRunning(m) {
			n.running++
		}
		if isLost(m) {
			n.lost++
		}
	}
	return n
}

func majority(voters int) int { return voters/2 + 1 }

// tolerated returns how many of a number of voters may be lost without the loss of the majority.
func tolerated(voters int) int { return max(voters-1, 0) / 2 }

// checkRemoval returns an error if the removal of a controller would take the majority, or, unless it is forced, if the
// group would bear fewer losses than by the removal of another one or after the addition of a replacement.
func checkRemoval(members []replica.Member, name string, force bool) error {
	removed := memberNamed(members, name)
	if removed == nil || removed.Learner {
		return nil
	}
	left := countVoters(members, name)
	needed := majority(left.all)
	mustGoFirst := left.all+1 >= consensus.MaxVoters && isLost(removed) // nothing can be added before
	switch {
	case left.all < consensus.MinVoters:
		return result.New(result.ConfigInvalid, "there are only %d voting controllers, none can be removed", left.all+1)
	case left.running < needed && left.all-left.lost >= needed:
		return result.New(result.MemberChangeBusy, "the leader has heard %d of the other %d controllers since its election", left.running, left.all)
	case left.running < needed:
		return result.New(result.RedundancyReduced,
			"without %s, %d of %d controllers run, which is no majority: no change would be accepted any more", name, left.running, left.all)
	case force || mustGoFirst:
		return nil
	case tolerated(left.all) < tolerated(left.all+1):
		return result.New(result.RedundancyReduced, "without %s, the group bears the loss of %d controllers instead of %d",
			name, tolerated(left.all), tolerated(left.all+1))
	case left.lost > 0 && !isLost(removed):
		return result.New(result.RedundancyReduced, "%s runs, and %d other controllers are lost", name, left.lost)
	}
	return nil
}

func memberNamed(members []replica.Member, name string) *replica.Member {
	for i := range members {
		if members[i].Name == name {
			return &members[i]
		}
	}
	return nil
}
