package confstore

import "testing"

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
