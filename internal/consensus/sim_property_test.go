package consensus_test

import (
	"flag"
	"fmt"
	"syscall"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/greengagelock/greengagelock/internal/consensus"
	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// maxRecoveryTime is the maximum time until an accepted change is in force on all members.
const maxRecoveryTime = 4 * time.Second

// simulation is the state machine of the property test: random faults and requests on a cluster.
type simulation struct {
	*cluster
	proposals int
	nextID    consensus.MemberID
}

func (m *simulation) any(t *rapid.T) *member {
	return m.members[rapid.SampledFrom(m.ids).Draw(t, "member")]
}

func (m *simulation) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"": func(*rapid.T) {},
		"wait": func(t *rapid.T) {
			m.run(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms"))*ms, nil)
		},
		"propose": func(t *rapid.T) {
			l := m.leader()
			for range rapid.IntRange(1, 8).Draw(t, "count") {
				if l == nil || l.node == nil {
					return
				}
				m.proposals++
				_, _ = l.propose(fmt.Sprintf("command-%d", m.proposals))
			}
		},
		"block one direction": func(t *rapid.T) { m.blocked[link{m.any(t).id, m.any(t).id}] = true },
		"isolate":             func(t *rapid.T) { m.isolate(m.any(t).id) },
		"unblock":             func(*rapid.T) { clear(m.blocked) },
		"bad network": func(t *rapid.T) {
			m.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
			m.duplicateRate = rapid.Float64Range(0, 0.3).Draw(t, "duplicate")
			spread := rapid.Int64Range(1, 200).Draw(t, "spread")
			m.delay = func() time.Duration { return time.Duration(m.rng.Int64N(spread))*ms + 1 }
		},
		"slow disks": func(t *rapid.T) {
			spread := rapid.Int64Range(1, 50).Draw(t, "spread")
			m.diskDelay = func() time.Duration { return time.Duration(m.rng.Int64N(spread)) * ms }
		},
		"crash": func(t *rapid.T) { m.any(t).crash() },
		"fail or crash at operation": func(t *rapid.T) {
			err := rapid.SampledFrom([]error{nil, syscall.EIO, syscall.ENOSPC}).Draw(t, "error")
			m.any(t).fs.FailNth(rapid.IntRange(1, 12).Draw(t, "operation"), err)
		},
		"restart": func(t *rapid.T) {
			v := m.any(t)
			v.crash()
			v.restart()
		},
		"lose leader twice": func(*rapid.T) {
			for range 2 {
				if l := m.leader(); l != nil {
					l.crash()
					m.run(2*time.Second, nil)
					l.restart()
				}
			}
		},
		"compact": func(t *rapid.T) {
			m.any(t).compact(rapid.Uint64Range(0, 10).Draw(t, "trailing"))
		},
		"transfer": func(t *rapid.T) {
			if l := m.leader(); l != nil {
				_ = l.node.TransferLeadership(m.any(t).id)
				l.processReady()
			}
		},
		"add learner": func(*rapid.T) {
			l := m.leader()
			if l == nil || m.nextID > 8 {
				return
			}
			m.nextID++
			m.addMember(m.nextID, nil)
			_, _ = l.node.ProposeMemberChange(consensus.MemberChange{AddLearner: m.nextID})
			l.processReady()
		},
		"promote":           func(*rapid.T) { m.promoteLearners() },
		"change two voters": func(t *rapid.T) { m.changeTwo(t) },
		"end the change": func(t *rapid.T) {
			if l := m.leader(); l != nil {
				finish := rapid.Bool().Draw(t, "finish")
				_, _ = l.node.ProposeMemberChange(consensus.MemberChange{Finish: finish, Revert: !finish})
				l.processReady()
			}
		},
		"restart with another build": func(t *rapid.T) {
			v := m.any(t)
			v.isOld = rapid.Bool().Draw(t, "old")
			v.crash()
			v.restart()
		},
		"remove": func(t *rapid.T) {
			if l := m.leader(); l != nil {
				_, _ = l.node.ProposeMemberChange(consensus.MemberChange{Remove: m.any(t).id})
				l.processReady()
			}
		},
	}
}

// promoteLearners promotes the learners that the leader accepts, and checks that they have every committed
// entry.
func (m *simulation) promoteLearners() {
	l := m.leader()
	if l == nil {
		return
	}
	commit := l.status().Commit
	for _, id := range l.node.Members().Learners {
		_, err := l.node.ProposeMemberChange(consensus.MemberChange{Promote: id})
		if _, found, known := entryAt(m.members[id].durable, commit); err == nil && known && !found && commit > 0 {
			m.t.Fatalf("learner %d was promoted without entry %d", id, commit)
		}
	}
	l.processReady()
}

// changeTwo replaces a voter, or adds two.
func (m *simulation) changeTwo(t *rapid.T) {
	l := m.leader()
	if l == nil || l.isOld {
		return
	}
	learners := l.node.Members().Learners
	for i, id := range learners {
		c := consensus.MemberChange{Promote: id, Remove: m.any(t).id}
		if i > 0 && rapid.Bool().Draw(t, "two learners") {
			c = consensus.MemberChange{Promote: id, PromoteToo: learners[i-1]}
		}
		_, _ = l.node.ProposeMemberChange(c)
	}
	l.processReady()
}

// checkRecovery repairs all faults and checks that a command reaches every voter within maxRecoveryTime.
func (m *simulation) checkRecovery() {
	m.heal()
	for _, id := range m.ids {
		v := m.members[id]
		if v.log.Err() != nil {
			v.crash()
			v.restart()
		}
	}
	m.delay = func() time.Duration { return 1500 * time.Microsecond }
	last := fmt.Sprintf("last-%d", m.proposals)
	sent := map[uint64]bool{}
	done := func() bool {
		l := m.leader()
		if l == nil {
			return false
		}
		if !sent[l.softState.Term] {
			_, err := l.propose(last)
			sent[l.softState.Term] = err == nil
		}
		for _, id := range l.node.Members().Voters {
			v := m.members[id]
			if len(v.commands) == 0 || v.commands[len(v.commands)-1] != last {
				return false
			}
		}
		return true
	}
	if !m.run(maxRecoveryTime, done) {
		m.t.Fatalf("no command reached every voter within %s after all faults were repaired%s", maxRecoveryTime, m.describe())
	}
}

// The default of 100 runs is too few for rare event orders.
func init() {
	if err := flag.Set("rapid.checks", "400"); err != nil {
		panic(err)
	}
}

// Guards against two leaders in a term, lost or changed committed entries, lost votes, learners that are
// promoted too early, and clusters that do not recover. Messages are lost, duplicated, delayed and
// reordered, and there are partitions, crashes during storage operations and membership changes.
func TestSafetyAndRecovery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{3, 5, 7}).Draw(t, "size")
		seed := rapid.Uint64().Draw(t, "seed")
		m := &simulation{cluster: newCluster(t, seed, size, smallSizes), nextID: consensus.MemberID(size)}
		m.run(2*time.Second, func() bool { return m.leader() != nil })
		actions := m.actions()
		for name, action := range actions {
			actions[name] = func(t *rapid.T) {
				action(t)
				if name != "" {
					m.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "then ms"))*ms, nil)
				}
			}
		}
		actions["propose again"], actions["propose more"] = actions["propose"], actions["propose"]
		t.Repeat(actions)
		m.checkRecovery()
	})
}
