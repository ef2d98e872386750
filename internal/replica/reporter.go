package replica

import (
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

const (
	// leaderlessAfter is the time without a leader after which that is reported. An election takes less than 2 s.
	leaderlessAfter = 3 * time.Second
	// maxRejectedPairs limits the pairs of sender and recipient whose messages are reported.
	maxRejectedPairs = 64
)

// reporter logs what changes in the state of a member. A controller without a leader has no other way to show why: what the
// others know does not reach it.
type reporter struct {
	name      string
	logger    *log.Logger
	directory *Directory
	contact   func(id consensus.MemberID) (Contact, error)

	members         consensus.Members
	hasLeader       bool
	leaderlessSince time.Duration
	isReported      bool // that there is no leader
	rejectedPairs   map[[2]consensus.MemberID]bool
}

// opened reports what the disk of the member holds.
func (r *reporter) opened(s *consensus.Status) {
	r.members = s.Members
	r.logMembers(r.logger.Info(), s).Uint64("term", s.Term).Uint64("last", s.Last).Uint64("snapshot", s.SnapshotIndex).
		Msg("replicated log opened")
}

// update reports a change of the members, and a time without a leader that lasts.
func (r *reporter) update(s *consensus.Status, now time.Duration) {
	if !slices.Equal(s.Members.Voters, r.members.Voters) || !slices.Equal(s.Members.Learners, r.members.Learners) {
		r.members = s.Members
		r.logMembers(r.logger.Info(), s).Msg("members of the replicated log changed")
	}
	switch hasLeader := s.Leader != 0; {
	case hasLeader:
		if r.isReported {
			r.logger.Info().Str("controller", r.name).Str("leader", r.directory.Name(s.Leader)).Uint64("term", s.Term).
				Dur("without_ms", now-r.leaderlessSince).Msg("the replicated log has a leader again")
		}
		r.hasLeader, r.isReported = true, false
	case r.hasLeader:
		r.hasLeader, r.leaderlessSince = false, now
	case !r.isReported && now-r.leaderlessSince > leaderlessAfter:
		r.isReported = true
		reached, missing := r.voterContacts(s)
		entry := r.logger.Warn().Str("role", roleIn(s.Members, s.ID)).Int("voters_known", len(s.Members.Voters)).Uint64("term", s.Term).
			Strs("reached", reached).Strs("not_reached", missing).Uint64("last", s.Last)
		r.logMembers(entry, s).Msg("the replicated log has had no leader for too long")
	}
}

// logMembers adds the members to a log line: the index of their entry, the commit index, their names, and those whose address
// is not known.
func (r *reporter) logMembers(entry *log.Entry, s *consensus.Status) *log.Entry {
	voters, learners, unknown := []string{}, []string{}, []string{}
	for _, id := range slices.Concat(s.Members.Voters, s.Members.Learners) {
		name, address := r.directory.Find(id)
		if s.Members.IsVoter(id) {
			voters = append(voters, name)
		} else {
			learners = append(learners, name)
		}
		if address == "" {
			unknown = append(unknown, name)
		}
	}
	return entry.Str("controller", r.name).Uint64("index", s.MembersIndex).Uint64("commit", s.Commit).
		Strs("voters", voters).Strs("learners", learners).Strs("without_address", unknown)
}

// voterContacts returns the other voters that the last messages have reached, and those that they have not, with the reason.
func (r *reporter) voterContacts(s *consensus.Status) (reached, missing []string) {
	reached, missing = []string{}, []string{}
	for _, id := range s.Members.Voters {
		if id == s.ID {
			continue
		}
		name := r.directory.Name(id)
		switch contact, reason := r.contact(id); {
		case contact == Reached:
			reached = append(reached, name)
		case reason != nil:
			missing = append(missing, name+": "+reason.Error())
		default:
			missing = append(missing, name+": not called")
		}
	}
	return reached, missing
}

func roleIn(m consensus.Members, id consensus.MemberID) string {
	switch {
	case m.IsVoter(id):
		return "voter"
	case m.IsLearner(id):
		return "learner"
	default:
		return "none"
	}
}

// rejected reports an invalid message. Messages for another member are sent as long as the sender counts that as one, so
// each pair of sender and recipient is reported once.
func (r *reporter) rejected(m *consensus.Message, err error) {
	pair := [2]consensus.MemberID{m.From, m.To}
	if m.To != MemberID(r.name) {
		if r.rejectedPairs[pair] || len(r.rejectedPairs) >= maxRejectedPairs {
			return
		}
		if r.rejectedPairs == nil {
			r.rejectedPairs = map[[2]consensus.MemberID]bool{}
		}
		r.rejectedPairs[pair] = true
	}
	r.logger.Warn().Str("controller", r.name).Str("sender", r.directory.Name(m.From)).Str("recipient", r.directory.Name(m.To)).
		Err(err).Msg("invalid message from another member rejected")
}
