package replica

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Guards against a log that is filled while there is no leader, and against one that does not say when that is over.
func TestReportsAreLoggedOncePerChange(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	r := &reporter{
		name: "a", logger: &log.Logger{Writer: &log.IOWriter{Writer: &out}}, directory: NewDirectory(map[string]string{"a": "1", "b": "2"}),
		contact: func(consensus.MemberID) (Contact, error) { return NoAddress, errNoAddress },
	}
	s := &consensus.Status{ID: MemberID("a"), Members: consensus.Members{Voters: []consensus.MemberID{MemberID("a"), 7}}}
	r.opened(s)
	g.Expect(out.String()).To(ContainSubstring(`"voters":["a","member-0000000000000007"],"learners":[],"without_address":["member-0000000000000007"]`))
	for now := time.Duration(0); now < time.Minute; now += leaderlessAfter / 10 {
		r.update(s, now)
		r.rejected(&consensus.Message{From: 7, To: 8}, errors.New("another member"))
	}
	const noLeader, over, rejected = "no leader for too long", "has a leader again", "invalid message"
	count := func(text string) int { return strings.Count(out.String(), text) }
	g.Expect([]int{count(noLeader), count(over), count(rejected)}).To(Equal([]int{1, 0, 1}))
	g.Expect(out.String()).To(ContainSubstring(`"not_reached":["member-0000000000000007: the address of the member is not known"]`))
	for id := range consensus.MemberID(10 * maxRejectedPairs) {
		r.rejected(&consensus.Message{From: id, To: 8}, errors.New("another member"))
	}
	g.Expect(count(rejected)).To(Equal(maxRejectedPairs))

	s.Leader = 7
	r.update(s, time.Minute)
	r.update(s, 2*time.Minute)
	s.Leader = 0
	r.update(s, 2*time.Minute)
	r.update(s, 2*time.Minute+leaderlessAfter) // an election
	g.Expect([]int{count(noLeader), count(over)}).To(Equal([]int{1, 1}))
}
