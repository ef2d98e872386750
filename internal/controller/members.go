package controller

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/catalog"
	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/operator"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
)

// promotionInterval is how often a call that adds a controller looks whether it votes.
const promotionInterval = 50 * time.Millisecond

// members keeps the list of controllers in the catalog in line with the members of the log.
type members struct {
	c *Controller

	mu   sync.Mutex
	seen map[string]string // data folders of controllers that sent messages
}

func newMembers(c *Controller, folder string) *members {
	return &members{c: c, seen: map[string]string{c.cfg.Name: folder}}
}

// admit refuses a controller that has another data folder than before. It has forgotten its votes
// and could help a second leader into a term.
func (m *members) admit(name, folder string) error {
	known, ok := m.registered(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	if ok && known.Folder != "" && known.Folder != folder {
		if m.seen[name] != folder {
			m.c.tel.Logger.Error().Str("controller", m.c.cfg.Name).Str("peer", name).
				Msg("a controller came back with another data folder; it has to join under a new name")
		}
		m.seen[name] = folder
		return result.New(result.PeerUnknown, "controller %s has another data folder than before; it has to join under a new name", name)
	}
	m.seen[name] = folder
	return nil
}

func (m *members) registered(name string) (member catalog.Member, ok bool) {
	m.c.state.read(func(cat *catalog.Catalog) { member, ok = cat.Member(name) })
	return member, ok
}

// refresh takes addresses over from the catalog.
func (m *members) refresh() {
	addresses := map[string]string{}
	m.c.state.read(func(cat *catalog.Catalog) {
		for _, member := range cat.Members() {
			addresses[member.Name] = member.Address
		}
	})
	m.c.directory.Add(addresses)
}

// decide registers members that are missing in the catalog, and promotes a learner that has
// caught up.
func (m *members) decide(ctx context.Context, status replica.Status) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for _, member := range status.Members {
		m.mu.Lock()
		folder := m.seen[member.Name]
		m.mu.Unlock()
		known, ok := m.registered(member.Name)
		if member.Address != "" && (!ok || (known.Folder == "" && folder != "")) {
			m.register(ctx, catalog.Member{Name: member.Name, Address: member.Address, Folder: folder})
		}
		if !member.Learner {
			continue
		}
		if err := m.c.log.ChangeMember(ctx, consensus.MemberChange{Promote: replica.MemberID(member.Name)}); err == nil {
			m.c.tel.Logger.Info().Str("controller", m.c.cfg.Name).Str("member", member.Name).Msg("a new controller votes")
		}
	}
}

func (m *members) register(ctx context.Context, member catalog.Member) {
	r, err := m.c.propose(ctx, &catalog.Command{Kind: catalog.KindMember, Member: member})
	if err == nil {
		err = r.Err()
	}
	if err != nil {
		m.c.tel.Logger.Warn().Str("controller", m.c.cfg.Name).Str("member", member.Name).Err(err).Msg("a controller was not registered")
	}
}

// add adds a controller and waits until it votes. Calling it again goes on where it stopped.
func (m *members) add(ctx context.Context, name, address string) error {
	r, err := m.c.propose(ctx, &catalog.Command{Kind: catalog.KindMember, Member: catalog.Member{Name: name, Address: address}})
	if err != nil {
		return err
	}
	if err := r.Err(); err != nil {
		return err
	}
	m.refresh()
	if _, ok := m.find(name); !ok {
		if err := m.c.log.ChangeMember(ctx, consensus.MemberChange{AddLearner: replica.MemberID(name)}); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		if member, ok := m.find(name); ok && !member.Learner {
			return nil
		}
		ctxtime.Sleep(ctx, promotionInterval)
	}
	return result.New(result.MemberChangeBusy, "controller %s has not caught up with the log yet", name)
}

// remove removes a controller. Its name is retired first, so that it can never be added again.
func (m *members) remove(ctx context.Context, name string) error {
	if known, ok := m.registered(name); !ok {
		return result.New(result.PeerUnknown, "there is no controller %s", name)
	} else if _, member := m.find(name); known.Retired && !member {
		return nil
	}
	if err := m.checkRemoval(name); err != nil {
		return err
	}
	r, err := m.c.propose(ctx, &catalog.Command{Kind: catalog.KindMember, Member: catalog.Member{Name: name, Retired: true}})
	if err != nil {
		return err
	}
	if err := r.Err(); err != nil {
		return err
	}
	return m.c.log.ChangeMember(ctx, consensus.MemberChange{Remove: replica.MemberID(name)})
}

// checkRemoval refuses a removal that the log would refuse, before the name is retired.
func (m *members) checkRemoval(name string) error {
	voters := 0
	for _, member := range m.c.log.Status().Members {
		if !member.Learner {
			voters++
		}
	}
	if member, ok := m.find(name); ok && !member.Learner && voters <= consensus.MinVoters {
		return result.New(result.ConfigInvalid, "only %d controllers vote, none can be removed", voters)
	}
	return nil
}

func (m *members) find(name string) (operator.Member, bool) {
	for _, member := range m.c.log.Status().Members {
		if member.Name == name {
			return member, true
		}
	}
	return operator.Member{}, false
}
