package controller

import (
	"testing"
	"time"

	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
)

// group returns members from a string with one letter for each: L is the leader, r runs, l is lost, n was not heard yet, and
// e is a learner that runs. The first is called a, the second b, and so on.
func group(states string) (members []replica.Member) {
	for i, state := range states {
		m := replica.Member{Name: string(rune('a' + i)), Leader: state == 'L', Heard: state == 'r' || state == 'l' || state == 'e', Learner: state == 'e'}
		if state == 'l' {
			m.ContactAge = lostAfter + time.Millisecond
		}
		members = append(members, m)
	}
	return members
}

// Guards against a removal after which the next loss takes the majority, and against a refusal of the documented order.
func TestRemovalsThatReduceRedundancyAreRefused(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		members, name  string
		want, ifForced result.Code
	}{
		{"Lrrrrr", "b", result.OK, result.OK},                              // a replacement was added before
		{"Lrrrrr", "a", result.OK, result.OK},                              // the leader itself
		{"Llrrrr", "b", result.OK, result.OK},                              // a lost one
		{"Llrrrr", "c", result.RedundancyReduced, result.OK},               // another one than the lost one
		{"Lrrrr", "b", result.RedundancyReduced, result.OK},                // before the replacement is added
		{"Llrrr", "b", result.RedundancyReduced, result.OK},                // the same, of a lost one
		{"Lrrrre", "b", result.RedundancyReduced, result.OK},               // before the replacement votes
		{"Lrrrre", "f", result.OK, result.OK},                              // a learner
		{"Lllrr", "d", result.RedundancyReduced, result.RedundancyReduced}, // takes the majority
		{"Llr", "c", result.RedundancyReduced, result.RedundancyReduced},   // takes the majority
		{"Lnnrr", "e", result.MemberChangeBusy, result.MemberChangeBusy},   // right after an election
		{"Lnr", "c", result.MemberChangeBusy, result.MemberChangeBusy},     // right after an election
		{"Lrrrrrr", "b", result.RedundancyReduced, result.OK},              // seven, all run
		{"Llrrrrr", "b", result.OK, result.OK},                             // seven: nothing can be added first
		{"Lr", "b", result.ConfigInvalid, result.ConfigInvalid},            // the log accepts no single voter
		{"Lllrrr", "b", result.OK, result.OK},                              // two lost, one replaced already
		{"Lllrrr", "d", result.RedundancyReduced, result.OK},               // a running one in the same group
		{"Lllrrr", "unknown", result.OK, result.OK},                        // the caller knows better
	} {
		for force, want := range map[bool]result.Code{false: c.want, true: c.ifForced} {
			if err := checkRemoval(group(c.members), c.name, force); result.CodeOf(err) != want {
				t.Errorf("removing %s of %s, forced %v: %v, want %v", c.name, c.members, force, err, want)
			}
		}
	}
}
