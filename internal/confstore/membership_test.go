package confstore

import (
	"net/netip"
	"testing"
)

// Guards against a new controller that never becomes a member because the leader is none of its seeds.
func TestControllerJoinsIfItsSeedsDoNotLead(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	leader := g.leader()
	var seeds []netip.Addr
	var replaced, kept *testController
	for _, c := range first {
		switch {
		case c == leader:
		case kept == nil:
			kept = c
			seeds = append(seeds, c.cfg.IP)
		default:
			replaced = c
		}
	}
	g.stop(replaced)
	successor := g.add(Config{Seeds: seeds})
	g.start(successor)
	g.waitForVoters(leader, kept, successor)
}

// Guards against a lost member that cannot be removed: the others had restarted while it was off, and did not know its
// name any more, because the members had not changed since the first start.
func TestLostMemberIsRemovedAfterARestartOfTheOthers(t *testing.T) {
	g := newTestGroup(t)
	first := g.found(3, 3)
	for _, c := range first {
		g.stop(c)
	}
	g.loseDisk(first[0])
	g.restart(first[1])
	g.restart(first[2])
	g.restart(first[0])
	g.waitForVoters(first...)
}
