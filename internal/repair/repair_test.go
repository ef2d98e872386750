package repair

import (
	"fmt"
	"math/bits"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/consensus"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

func voter(name string, age time.Duration) Member {
	return Member{ID: idOf(name), Name: name, Address: name[:1], Voter: true, Match: 10, ContactAge: age, Heard: true}
}

func learner(name string, match uint64) Member {
	return Member{ID: idOf(name), Name: name, Address: name[:1], Match: match, Heard: true}
}

// idOf returns the ID of a member with a name like "a/1".
func idOf(name string) consensus.MemberID {
	return consensus.MemberID(name[0])<<8 | consensus.MemberID(name[2])
}

// replacing returns the transition of the members a/1, b/1 and c/1 in which one replaces another.
func replacing(old, successor string) *consensus.Transition {
	t := &consensus.Transition{}
	for _, name := range []string{"a/1", "b/1", "c/1"} {
		t.Old = append(t.Old, idOf(name))
		if name == old {
			name = successor
		}
		t.New = append(t.New, idOf(name))
	}
	return t
}

func founding(m Member) Member {
	m.Founding = true
	return m
}

func leaving(m Member) Member {
	m.Leaving = true
	return m
}

func unheard(m Member) Member {
	m.Heard = false
	return m
}

func withoutAddress(m Member) Member {
	m.Address = ""
	return m
}

// Guards against a stopping controller that ends while it still is a voter, once its successor votes as well.
func TestLeaverStaysUntilItIsNoVoter(t *testing.T) {
	g := NewWithT(t)
	l := Leaver{Losses: 2}
	g.Expect(l.Stays(true, 5, 1)).To(BeTrue(), "a learner can replace it")
	g.Expect(l.Stays(true, 6, 0)).To(BeTrue(), "the learner was promoted")
	g.Expect(l.Stays(true, 5, 0)).To(BeTrue(), "another voter was removed")
	g.Expect(l.Stays(false, 5, 0)).To(BeFalse())
	g.Expect((&Leaver{Losses: 2}).Stays(true, 6, 0)).To(BeTrue(), "the group has more voters than its size")
	g.Expect((&Leaver{Losses: 2}).Stays(true, 5, 0)).To(BeFalse(), "nothing can replace it")
}

func in(zone string, m Member) Member {
	m.Zone = zone
	return m
}

// Guards against an availability zone that has three of five voters, because a learner of it has replaced a voter that was only
// frozen: the loss of the zone, which the group has to bear, takes the majority.
func TestNoZoneKeepsMoreVotersThanMayBeLost(t *testing.T) {
	g := NewWithT(t)
	leader := in("a", voter("a/1", 0))
	leader.Self = true
	spread := []Member{leader, in("a", voter("b/1", 0)), in("b", voter("c/1", 0)), in("c", voter("d/1", 0)), in("d", voter("e/1", 0))}
	frozen := slices.Clone(spread)
	frozen[4].ContactAge = LostAfter + 1
	crowded := slices.Clone(spread)
	crowded[4].Zone = "a"
	for name, c := range map[string]struct {
		members []Member
		want    Change
	}{
		"a learner of another zone is preferred":       {append(slices.Clone(frozen), in("a", learner("f/1", 10)), in("b", learner("g/1", 10))), Change{Kind: Replace, Name: "g/1", Other: idOf("e/1")}},
		"one of the same zone is better than none":     {append(slices.Clone(frozen), in("a", learner("f/1", 10))), Change{Kind: Replace, Name: "f/1", Other: idOf("e/1")}},
		"a learner relieves a crowded zone":            {append(slices.Clone(crowded), in("d", learner("f/1", 10))), Change{Kind: Replace, Name: "f/1", Other: idOf("b/1")}},
		"a voter of the zone goes from an even number": {append(slices.Clone(crowded), in("d", voter("f/1", 0))), Change{Kind: Remove, Name: "b/1"}},
		"and stays a learner":                          {append(slices.Clone(spread), in("a", learner("f/1", 10))), Change{}},
		"a learner of the crowded zone is of no use":   {append(slices.Clone(crowded), in("a", learner("f/1", 10))), Change{}},
		"a learner whose zone is not known is not one": {append(slices.Clone(crowded), learner("f/1", 10)), Change{}},
	} {
		got := Decide(Group{Members: c.members, Commit: 10, Losses: 2})
		g.Expect(Change{Kind: got.Kind, Name: got.Name, Other: got.Other}).To(Equal(c.want), name)
	}
	three := []Member{leader, in("a", voter("b/1", 0)), in("b", voter("c/1", 0)), in("b", learner("d/1", 10))}
	g.Expect(Decide(Group{Members: three, Commit: 10, Losses: 1}).Kind).To(Equal(None), "two zones cannot be relieved")
}

// Guards against a disk loss that permanently reduces fault tolerance: the controller must rejoin as a new
// member and catch up before the old member is removed.
func TestDecide(t *testing.T) {
	g := NewWithT(t)
	healthy := []Member{voter("a/1", 0), voter("b/1", 0), voter("c/1", 0)}
	healthy[0].Self = true
	lost := slices.Clone(healthy)
	lost[2].ContactAge = LostAfter + 1
	for name, c := range map[string]struct {
		group Group
		want  Change
	}{
		"nothing to do": {Group{Members: healthy, Commit: 10}, Change{}},
		"a lost voter without a replacement stays":               {Group{Members: lost, Commit: 10}, Change{}},
		"a new controller is added":                              {Group{Members: healthy, Commit: 10, Joining: []Member{{Name: "d/1"}}}, Change{Kind: AddLearner, Name: "d/1"}},
		"a member is not added again":                            {Group{Members: healthy, Commit: 10, Joining: []Member{{Name: "b/1"}}}, Change{}},
		"a learner that has not caught up is not promoted":       {Group{Members: append(slices.Clone(healthy), learner("d/1", 3)), Commit: 10}, Change{}},
		"a learner of the first start waits for a second one":    {Group{Members: append(slices.Clone(healthy), founding(learner("d/1", 10))), Commit: 10}, Change{}},
		"two learners of the first start are promoted":           {Group{Members: append(slices.Clone(healthy), founding(learner("d/1", 10)), founding(learner("e/1", 10))), Commit: 10}, Change{Kind: PromoteTwo, Name: "d/1", Other: idOf("e/1")}},
		"one is promoted beside a single voter":                  {Group{Members: append(slices.Clone(healthy[:1]), founding(learner("d/1", 10))), Commit: 10}, Change{Kind: Promote, Name: "d/1"}},
		"one is promoted to an odd number":                       {Group{Members: append(slices.Clone(healthy), voter("d/1", 0), founding(learner("e/1", 10))), Commit: 10}, Change{Kind: Promote, Name: "e/1"}},
		"a learner of a complete group waits":                    {Group{Members: append(slices.Clone(healthy), learner("d/1", 10)), Commit: 10}, Change{}},
		"a voter is removed before the next learner is promoted": {Group{Members: append(slices.Clone(lost), voter("d/1", 0), learner("e/1", 10)), Commit: 10}, Change{Kind: Remove, Name: "c/1"}},
		"a stopping voter is replaced by a learner":              {Group{Members: append(slices.Clone(healthy[:2]), leaving(voter("c/1", 0)), learner("d/1", 10)), Commit: 10}, Change{Kind: Replace, Name: "d/1", Other: idOf("c/1")}},
		"a stopping voter stays if nobody can replace it":        {Group{Members: append(slices.Clone(healthy[:2]), leaving(voter("c/1", 0)), learner("d/1", 3)), Commit: 10}, Change{}},
		"a stopping learner replaces nobody":                     {Group{Members: append(slices.Clone(lost), leaving(learner("d/1", 10))), Commit: 10}, Change{}},
		"a group grows to the size for its losses":               {Group{Members: append(slices.Clone(healthy), learner("d/1", 10), learner("e/1", 10)), Commit: 10, Losses: 2}, Change{Kind: PromoteTwo, Name: "d/1", Other: idOf("e/1")}},
		"but not by one voter, which would bear no more":         {Group{Members: append(slices.Clone(healthy), learner("d/1", 10), learner("e/1", 3)), Commit: 10, Losses: 2}, Change{}},
		"a group of that size does not grow":                     {Group{Members: append(slices.Clone(healthy), learner("d/1", 10)), Commit: 10, Losses: 1}, Change{}},
		"voters above that size that are lost are removed":       {Group{Members: append(slices.Clone(lost), voter("d/1", 0), voter("e/1", 0)), Commit: 10, Losses: 1}, Change{Kind: Remove, Name: "c/1"}},
		"voters of a group of that size stay":                    {Group{Members: append(slices.Clone(lost), voter("d/1", 0), voter("e/1", 0)), Commit: 10, Losses: 2}, Change{}},
		"members without a known address replace nobody":         {Group{Members: append(slices.Clone(healthy), withoutAddress(voter("d/1", 0)), voter("e/1", 0), withoutAddress(learner("f/1", 10))), Commit: 10}, Change{}},
		"a learner takes the place of a lost voter in one step":  {Group{Members: append(slices.Clone(lost), learner("d/1", 10)), Commit: 10}, Change{Kind: Replace, Name: "d/1", Other: idOf("c/1")}},
		"that step is finished":                                  {Group{Members: append(slices.Clone(lost), voter("d/1", 0)), Commit: 10, Transition: replacing("c/1", "d/1")}, Change{Kind: Finish, Name: "d/1"}},
		"and undone if the new voter is lost and the old is not": {Group{Members: append(slices.Clone(healthy), voter("d/1", LostAfter+1)), Commit: 10, Transition: replacing("c/1", "d/1")}, Change{Kind: Revert, Name: "d/1"}},
		"but not if both are":                                    {Group{Members: append(slices.Clone(lost), voter("d/1", LostAfter+1)), Commit: 10, Transition: replacing("c/1", "d/1")}, Change{Kind: Finish, Name: "d/1"}},
		"nothing else is changed before that":                    {Group{Members: append(slices.Clone(lost), voter("d/1", 0)), Commit: 10, Joining: []Member{{Name: "e/1"}}, Transition: replacing("c/1", "d/1")}, Change{Kind: Finish, Name: "d/1"}},
		"an older build has made two changes of it":              {Group{Members: append(slices.Clone(lost), voter("d/1", 0)), Commit: 10}, Change{Kind: Remove, Name: "c/1"}},
		"an even number takes a learner before a voter goes":     {Group{Members: append(slices.Clone(lost), voter("d/1", 0), learner("e/1", 10)), Commit: 10, Losses: 2}, Change{Kind: Promote, Name: "e/1"}},
		"the learner on the lost voter's VM replaces it": {
			Group{Members: append(slices.Clone(lost), learner("c/2", 10)), Commit: 10}, Change{Kind: Replace, Name: "c/2", Other: idOf("c/1")},
		},
		"the old member on the VM of a new voter is removed": {
			Group{Members: append(slices.Clone(healthy[:2]), voter("c/1", 200), voter("c/2", 0)), Commit: 10}, Change{Kind: Remove, Name: "c/1"},
		},
		"also in a group that has fewer voters than it should": {
			Group{Members: append(slices.Clone(healthy[:2]), voter("c/1", 200), voter("c/2", 0)), Commit: 10, Losses: 2}, Change{Kind: Remove, Name: "c/1"},
		},
		"a voter that has not been heard yet does not count for a majority": {
			Group{Members: append(slices.Clone(healthy[:1]), unheard(voter("b/1", 0)), leaving(voter("c/1", 0)), learner("d/1", 10)), Commit: 10}, Change{Kind: Replace, Name: "d/1", Other: idOf("c/1")},
		},
		"nor do two of them": {
			Group{Members: append(slices.Clone(healthy[:1]), unheard(voter("b/1", 0)), unheard(leaving(voter("c/1", 0))), learner("d/1", 10)), Commit: 10}, Change{},
		},
		"a voter that leaves is not removed for one that has not been heard": {
			Group{Members: append(slices.Clone(healthy[:1]), unheard(voter("b/1", 0)), unheard(voter("d/1", 0)), leaving(voter("c/1", 0))), Commit: 10}, Change{},
		},
		"a lost voter is removed from an even number": {Group{Members: append(slices.Clone(lost), voter("d/1", 0)), Commit: 10}, Change{Kind: Remove, Name: "c/1"}},
		"an unreachable learner is removed": {
			Group{Members: append(slices.Clone(healthy), Member{Name: "d/1", ContactAge: LostAfter + 1}), Commit: 10}, Change{Kind: Remove, Name: "d/1"},
		},
	} {
		got := Decide(c.group)
		got.Reason, got.ID = "", 0
		g.Expect(got).To(Equal(c.want), name)
	}
}

// Guards against changes after which the reachable voters are no majority, and against changes that never
// end.
func TestDecideKeepsQuorumAndTerminates(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := Group{Commit: 10}
		size := rapid.SampledFrom([]int{3, 5}).Draw(rt, "size")
		lost := rapid.IntRange(0, (size-1)/2).Draw(rt, "lost")
		for i := range size {
			m := voter(fmt.Sprintf("%c/1", 'a'+i), 0)
			m.Self = i == 0
			if i >= size-lost {
				m.ContactAge = time.Minute
			}
			g.Members = append(g.Members, m)
		}
		for i := range rapid.IntRange(0, 3).Draw(rt, "joining") {
			g.Joining = append(g.Joining, Member{ID: idOf(fmt.Sprintf("%c/2", 'c'+i)), Name: fmt.Sprintf("%c/2", 'c'+i), Address: string(rune('c' + i))})
		}
		for step := 0; ; step++ {
			if step > 40 {
				rt.Fatalf("the changes do not end: %+v", g.Members)
			}
			c := Decide(g)
			if c.Kind == None {
				break
			}
			applyChange(&g, c)
			if voters, alive := countVoters(g); alive <= voters/2 {
				rt.Fatalf("%d of %d voters are reachable after %+v", alive, voters, c)
			}
		}
		voters, alive := countVoters(g)
		if voters-alive > lost || voters < 3 && len(g.Joining) > 0 {
			rt.Fatalf("%d of %d voters are reachable at the end", alive, voters)
		}
	})
}

func applyChange(g *Group, c Change) {
	i := slices.IndexFunc(g.Members, func(m Member) bool { return m.Name == c.Name })
	switch c.Kind {
	case AddLearner:
		for _, j := range g.Joining {
			if j.Name == c.Name {
				j.Match, j.Heard = g.Commit, true
				g.Members = append(g.Members, j)
			}
		}
	case Promote:
		g.Members[i].Voter = true
	case PromoteTwo:
		g.Members[i].Voter = true
		g.Members[slices.IndexFunc(g.Members, func(m Member) bool { return m.ID == c.Other })].Voter = true
	case Replace:
		g.Members[i].Voter = true
		g.Members = slices.DeleteFunc(g.Members, func(m Member) bool { return m.ID == c.Other })
	case Remove:
		g.Members = slices.Delete(g.Members, i, i+1)
	}
}

func countVoters(g Group) (voters, alive int) {
	for i := range g.Members {
		if m := &g.Members[i]; m.Voter {
			voters++
			if !m.isLost() {
				alive++
			}
		}
	}
	return voters, alive
}

// drawGroup draws a group with members that are gone, leave, join or crowd a zone.
func drawGroup(rt *rapid.T) Group {
	g := Group{Commit: 10, Losses: rapid.IntRange(0, 3).Draw(rt, "losses")}
	voters := rapid.IntRange(2, 7).Draw(rt, "voters")
	for i := range voters + rapid.IntRange(0, 2).Draw(rt, "learners") {
		m := in(rapid.SampledFrom([]string{"", "x", "y", "z"}).Draw(rt, "zone"), voter(fmt.Sprintf("%c/1", 'a'+i), 0))
		m.Voter, m.Self = i < voters, i == 0
		m.Founding = rapid.Bool().Draw(rt, "founding")
		if i > 0 {
			m.Leaving = rapid.IntRange(0, 4).Draw(rt, "leaving") == 0
			if rapid.IntRange(0, 3).Draw(rt, "lost") == 0 {
				m.ContactAge = time.Minute
			}
		}
		g.Members = append(g.Members, m)
	}
	return g
}

// bears reports whether the members other than the lost ones, a set of bits by their position in all, can elect a leader.
func (g *Group) bears(all []Member, lost int) bool {
	var voters []consensus.MemberID
	for _, m := range g.Members {
		if m.Voter {
			voters = append(voters, m.ID)
		}
	}
	groups := consensus.VoterGroups(consensus.Members{Voters: voters}, g.Transition)
	return consensus.HasMajorities(groups, func(id consensus.MemberID) bool {
		at := slices.IndexFunc(all, func(m Member) bool { return m.ID == id })
		return lost&(1<<at) == 0
	})
}

// apply makes a change as the replicated log does.
func (g *Group) apply(c Change) {
	t := g.Transition
	if t == nil {
		if c.Kind == Replace || c.Kind == PromoteTwo {
			t = &consensus.Transition{Old: g.voterIDs()}
		}
		applyChange(g, c)
		if t != nil {
			t.New = g.voterIDs()
		}
	}
	keep := func(ids []consensus.MemberID) {
		g.Transition = nil
		g.Members = slices.DeleteFunc(g.Members, func(m Member) bool { return slices.Contains(t.Old, m.ID) && !slices.Contains(ids, m.ID) })
		for i := range g.Members {
			g.Members[i].Voter = slices.Contains(ids, g.Members[i].ID)
		}
	}
	switch c.Kind {
	case Replace, PromoteTwo:
		g.Transition = t
	case Finish:
		keep(t.New)
	case Revert:
		keep(t.Old)
	}
}

func (g *Group) voterIDs() []consensus.MemberID {
	var ids []consensus.MemberID
	for _, m := range g.Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Guards against a step of a change, of any kind of change, in which the group does not bear a loss of some members that it bore
// before: a successor that is lost right after its promotion takes the majority together with another one.
func TestNoStepOfAChangeBearsLess(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := drawGroup(rt)
		all := slices.Clone(g.Members)
		gone, wanted := 0, g.Losses
		for i := range all {
			if all[i].isLost() {
				gone |= 1 << i
			}
		}
		if wanted == 0 {
			wanted = (len(g.voterIDs()) - 1) / 2
		}
		for step := 0; ; step++ {
			before := Group{Members: slices.Clone(g.Members), Transition: g.Transition}
			c := Decide(g)
			if c.Kind == None {
				return
			}
			if step > 20 {
				rt.Fatalf("the changes do not end: %+v", g.Members)
			}
			g.apply(c)
			size := len(g.voterIDs())
			if g.Transition != nil {
				size = len(g.Transition.New)
			}
			limit := min(wanted, size/2) // a group that is too small, and grows, does not bear more
			for lost := range 1 << len(all) {
				if len(before.voterIDs()) > 1 && lost&gone == 0 && bits.OnesCount(uint(lost)) <= limit && before.bears(all, lost|gone) && !g.bears(all, lost|gone) {
					rt.Fatalf("after %+v the loss of %b besides %b takes the majority, before it did not: %+v", c, lost, gone, g.Members)
				}
			}
		}
	})
}
