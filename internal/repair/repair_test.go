package repair

import (
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

func voter(name string, age time.Duration) Member {
	return Member{Name: name, Address: name[:1], Voter: true, Match: 10, ContactAge: age, Heard: true}
}

func learner(name string, match uint64) Member {
	return Member{Name: name, Address: name[:1], Match: match, Heard: true}
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
		"a learner of another zone is preferred":       {append(slices.Clone(frozen), in("a", learner("f/1", 10)), in("b", learner("g/1", 10))), Change{Kind: Promote, Name: "g/1"}},
		"one of the same zone is better than none":     {append(slices.Clone(frozen), in("a", learner("f/1", 10))), Change{Kind: Promote, Name: "f/1"}},
		"a learner relieves a crowded zone":            {append(slices.Clone(crowded), in("d", learner("f/1", 10))), Change{Kind: Promote, Name: "f/1"}},
		"then a voter of the zone goes":                {append(slices.Clone(crowded), in("d", voter("f/1", 0))), Change{Kind: Remove, Name: "b/1"}},
		"and stays a learner":                          {append(slices.Clone(spread), in("a", learner("f/1", 10))), Change{}},
		"a learner of the crowded zone is of no use":   {append(slices.Clone(crowded), in("a", learner("f/1", 10))), Change{}},
		"a learner whose zone is not known is not one": {append(slices.Clone(crowded), learner("f/1", 10)), Change{}},
	} {
		got := Decide(Group{Members: c.members, Commit: 10, Losses: 2})
		g.Expect(Change{Kind: got.Kind, Name: got.Name}).To(Equal(c.want), name)
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
		"a learner of the first start is promoted":               {Group{Members: append(slices.Clone(healthy), founding(learner("d/1", 10))), Commit: 10}, Change{Kind: Promote, Name: "d/1"}},
		"a learner of a complete group waits":                    {Group{Members: append(slices.Clone(healthy), learner("d/1", 10)), Commit: 10}, Change{}},
		"a voter is removed before the next learner is promoted": {Group{Members: append(slices.Clone(lost), voter("d/1", 0), learner("e/1", 10)), Commit: 10}, Change{Kind: Remove, Name: "c/1"}},
		"a stopping voter is replaced by a learner":              {Group{Members: append(slices.Clone(healthy[:2]), leaving(voter("c/1", 0)), learner("d/1", 10)), Commit: 10}, Change{Kind: Promote, Name: "d/1"}},
		"a stopping voter stays if nobody can replace it":        {Group{Members: append(slices.Clone(healthy[:2]), leaving(voter("c/1", 0)), learner("d/1", 3)), Commit: 10}, Change{}},
		"a stopping learner replaces nobody":                     {Group{Members: append(slices.Clone(lost), leaving(learner("d/1", 10))), Commit: 10}, Change{}},
		"a group grows to the size for its losses":               {Group{Members: append(slices.Clone(healthy), learner("d/1", 10)), Commit: 10, Losses: 2}, Change{Kind: Promote, Name: "d/1"}},
		"a group of that size does not grow":                     {Group{Members: append(slices.Clone(healthy), learner("d/1", 10)), Commit: 10, Losses: 1}, Change{}},
		"voters above that size that are lost are removed":       {Group{Members: append(slices.Clone(lost), voter("d/1", 0), voter("e/1", 0)), Commit: 10, Losses: 1}, Change{Kind: Remove, Name: "c/1"}},
		"voters of a group of that size stay":                    {Group{Members: append(slices.Clone(lost), voter("d/1", 0), voter("e/1", 0)), Commit: 10, Losses: 2}, Change{}},
		"members without a known address replace nobody":         {Group{Members: append(slices.Clone(healthy), withoutAddress(voter("d/1", 0)), voter("e/1", 0), withoutAddress(learner("f/1", 10))), Commit: 10}, Change{}},
		"a learner is promoted before the lost voter is removed": {Group{Members: append(slices.Clone(lost), learner("d/1", 10)), Commit: 10}, Change{Kind: Promote, Name: "d/1"}},
		"the lost voter is removed then":                         {Group{Members: append(slices.Clone(lost), voter("d/1", 0)), Commit: 10}, Change{Kind: Remove, Name: "c/1"}},
		"the learner on the lost voter's VM replaces it": {
			Group{Members: append(slices.Clone(lost), learner("c/2", 10)), Commit: 10}, Change{Kind: Promote, Name: "c/2"},
		},
		"the old member on the VM of a new voter is removed": {
			Group{Members: append(slices.Clone(healthy[:2]), voter("c/1", 200), voter("c/2", 0)), Commit: 10}, Change{Kind: Remove, Name: "c/1"},
		},
		"also in a group that has fewer voters than it should": {
			Group{Members: append(slices.Clone(healthy[:2]), voter("c/1", 200), voter("c/2", 0)), Commit: 10, Losses: 2}, Change{Kind: Remove, Name: "c/1"},
		},
		"a voter that has not been heard yet does not count for a majority": {
			Group{Members: append(slices.Clone(healthy[:1]), unheard(voter("b/1", 0)), leaving(voter("c/1", 0)), learner("d/1", 10)), Commit: 10}, Change{Kind: Promote, Name: "d/1"},
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
		got.Reason = ""
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
			g.Joining = append(g.Joining, Member{Name: fmt.Sprintf("%c/2", 'c'+i), Address: string(rune('c' + i))})
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
