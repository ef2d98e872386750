package confstore

import (
	"bytes"
	"encoding/json"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/testkit"
)

// lines returns the log lines of a controller with a message.
func (c *testController) lines(t testing.TB, message string) []map[string]any {
	t.Helper()
	var lines []map[string]any
	for text := range bytes.Lines(c.logs.Contents()) {
		line := map[string]any{}
		testkit.Check(t, json.Unmarshal(text, &line))
		if line["message"] == message {
			lines = append(lines, line)
		}
	}
	return lines
}

// Guards against a store without a majority whose logs name neither the voters nor those that are gone: two of four
// controllers have lost their disks, and the others ask members for votes that do not exist any more.
func TestControllersSayWhyThereIsNoLeader(t *testing.T) {
	g := NewWithT(t)
	group := newTestGroup(t)
	first := group.found(3, 3)
	for _, c := range first {
		g.Expect(c.lines(t, "replicated log opened")).To(ConsistOf(
			HaveKeyWithValue("voters", ConsistOf(first[0].name, first[1].name, first[2].name))))
	}
	kept, old := first[2], first[1].name
	for _, c := range first {
		group.stop(c)
	}
	group.loseDisk(first[0])
	group.loseDisk(first[1])
	for _, c := range first {
		group.restart(c)
	}
	const noLeader = "the replicated log has had no leader for too long"
	g.Eventually(func() []map[string]any { return kept.lines(t, noLeader) }).WithTimeout(testkit.WaitTimeout).Should(ConsistOf(And(
		HaveKeyWithValue("role", "voter"),
		HaveKeyWithValue("voters", HaveLen(3)),
		HaveKeyWithValue("reached", BeEmpty()),
		HaveKeyWithValue("not_reached", ContainElement(And(HavePrefix(old), ContainSubstring(first[1].name), ContainSubstring("disk was lost")))),
	)))
	g.Eventually(kept.voterContacts).WithTimeout(testkit.WaitTimeout).Should(Equal(voterContacts{voters: 3, reached: 1, replaced: 2}))
	replaced := first[1]
	g.Eventually(func() []map[string]any { return replaced.lines(t, noLeader) }).WithTimeout(testkit.WaitTimeout).Should(ConsistOf(
		HaveKeyWithValue("role", "none")))
	g.Expect(replaced.voterContacts()).To(Equal(voterContacts{reached: -1, replaced: -1}))
	// Requests for votes go on, and only their number grows.
	g.Eventually(replaced.log.Rejected).WithTimeout(testkit.WaitTimeout).Should(BeNumerically(">", 3))
	g.Expect(replaced.lines(t, "invalid message from another member rejected")).To(ConsistOf(HaveKeyWithValue("sender", kept.name)))
	// It asks for membership, and nobody knows a leader.
	g.Expect(replaced.lines(t, "result of join requests changed")).To(ContainElement(HaveKeyWithValue("leader", "")))
}

// Guards against a change of the members that only the leader logs, whose log may be lost with it.
func TestEveryMemberLogsChangesOfTheMembers(t *testing.T) {
	g := NewWithT(t)
	group := newTestGroup(t)
	first := group.found(3, 3)
	successor := group.add(Config{Seeds: first[0].cfg.Seeds})
	group.start(successor)
	group.waitForMembers(4)
	for _, c := range append(first, successor) {
		g.Eventually(func() []map[string]any { return c.lines(t, "members of the replicated log changed") }).
			WithTimeout(testkit.WaitTimeout).Should(ContainElement(And(
			HaveKeyWithValue("learners", ConsistOf(successor.name)),
			HaveKeyWithValue("voters", HaveLen(3)),
			HaveKeyWithValue("without_address", BeEmpty()),
			HaveKeyWithValue("index", BeNumerically(">", 0)))))
	}
	g.Eventually(func() voterContacts {
		if leader := group.leader(); leader != nil {
			return leader.voterContacts()
		}
		return voterContacts{}
	}).WithTimeout(testkit.WaitTimeout).Should(Equal(voterContacts{voters: 3, reached: 3}))
}
