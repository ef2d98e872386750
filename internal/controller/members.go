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

// promotionPollInterval is the time between two checks whether an added controller has become a voter.
const promotionPollInterval = 50 * time.Millisecond

// members keeps the list of controllers in the catalog consistent with the members of the replicated log.
type members struct {
	c *Controller

	mu      sync.Mutex
	folders map[string]string // last data folder ID of each controller that sent messages
}

func newMembers(c *Controller, folder string) *members {
	return &members{c: c, folders: map[string]string{c.cfg.Name: folder}}
}

// checkFolder returns an error if the data folder of a controller is not the registered one. Such a
// controller has lost its votes and could vote a second time in a term, which may elect two leaders.
func (m *members) checkFolder(name, folder string) error {
	known := m.folderOf(name)
	m.mu.Lock()
	defer m.mu.Unlock()
	if known != "" && known != folder {
		if m.folders[name] != folder {
			m.c.tel.Logger.Error().Str("controller", m.c.cfg.Name).Str("peer", name).
				Msg("the data folder of a controller has changed; the controller has to join under a new name")
		}
		m.folders[name] = folder
		return result.New(result.PeerUnknown, "the data folder of controller %s has changed; it has to join under a new name", name)
	}
	m.folders[name] = folder
	return nil
}

// folderOf returns the ID of the data folder that a controller had first, or "" if it is not known.
func (m *members) folderOf(name string) string {
	if known, _ := m.registeredMember(name); known.Folder != "" {
		return known.Folder
	}
	return m.c.founders.folderOf(name)
}

func (m *members) registeredMember(name string) (member catalog.Member, ok bool) {
	m.c.state.read(func(cat *catalog.Catalog) { member, ok = cat.Member(name) })
	return member, ok
}

// updateDirectory copies the addresses of controllers from the catalog to the directory.
func (m *members) updateDirectory() {
	addresses := map[string]string{}
	m.c.state.read(func(cat *catalog.Catalog) {
		for _, member := range cat.Members() {
			addresses[member.Name] = member.Address
		}
	})
	m.c.directory.Add(addresses)
}

// reconcile registers members of the log that the catalog does not have, or has without a data folder, and
// promotes learners that have caught up.
func (m *members) reconcile(ctx context.Context, status replica.Status) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	for _, member := range status.Members {
		m.mu.Lock()
		folder := m.folders[member.Name]
		m.mu.Unlock()
		if first := m.c.founders.folderOf(member.Name); first != "" {
			folder = first
		}
		known, ok := m.registeredMember(member.Name)
		if member.Address != "" && (!ok || (known.Folder == "" && folder != "")) {
			m.register(ctx, catalog.Member{Name: member.Name, Address: member.Address, Folder: folder})
		}
		if !member.Learner || m.voters() >= consensus.MaxVoters {
			continue
		}
		if err := m.c.log.ChangeMember(ctx, consensus.MemberChange{Promote: replica.MemberID(member.Name)}); err == nil {
			m.c.tel.Logger.Info().Str("controller", m.c.cfg.Name).Str("member", member.Name).Msg("promoted a controller to voter")
		}
	}
}

// register writes a controller to the catalog. reconcile retries it after a failure.
func (m *members) register(ctx context.Context, member catalog.Member) {
	if err := m.commit(ctx, member); err != nil {
		m.c.tel.Logger.Warn().Str("controller", m.c.cfg.Name).Str("member", member.Name).Err(err).Msg("registering a controller failed")
	}
}

// add adds a controller as a learner and waits until it is a voter. After an error it can be called again.
func (m *members) add(ctx context.Context, name, address string) error {
	added := catalog.Member{Name: name, Address: address}
	if err := m.checkAddition(added); err != nil {
		return err
	}
	if err := m.commit(ctx, added); err != nil {
		return err
	}
	m.updateDirectory()
	if _, ok := m.find(name); !ok {
		if err := m.c.log.ChangeMember(ctx, consensus.MemberChange{AddLearner: replica.MemberID(name)}); err != nil {
			return err
		}
	}
	for ctx.Err() == nil {
		if member, ok := m.find(name); ok && !member.Learner {
			return m.commit(ctx, added)
		}
		ctxtime.Sleep(ctx, promotionPollInterval)
	}
	return result.New(result.MemberChangeBusy, "controller %s has not caught up with the log yet", name)
}

// checkAddition returns an error if a controller must not be added, or must not get another address.
func (m *members) checkAddition(added catalog.Member) error {
	member, isMember := m.find(added.Name)
	if !isMember && m.voters() >= consensus.MaxVoters {
		return result.New(result.ConfigInvalid, "there are already %d voting controllers, remove one before adding %s", consensus.MaxVoters, added.Name)
	}
	if isMember && isRunning(&member) && member.Address != added.Address {
		return result.New(result.ConfigInvalid, "controller %s runs at %s; it can get another address once it is stopped", added.Name, member.Address)
	}
	return nil
}

// commit changes a controller in the catalog. A change of the log's members takes effect before it is committed, and the next
// leader may undo it; it is committed once an entry after it is.
func (m *members) commit(ctx context.Context, changed catalog.Member) error {
	r, err := m.c.propose(ctx, &catalog.Command{Kind: catalog.KindMember, Member: changed})
	if err != nil {
		return err
	}
	return r.Err()
}

// remove removes a controller. It retires the name first, so that the name can never be added again.
func (m *members) remove(ctx context.Context, name string, force bool) error {
	if _, ok := m.registeredMember(name); !ok {
		return result.New(result.PeerUnknown, "controller %s does not exist", name)
	}
	// Retiring a name cannot be undone, so the removal is checked before.
	if err := checkRemoval(m.c.log.Status().Members, name, force); err != nil {
		return err
	}
	if err := m.commit(ctx, catalog.Member{Name: name, Retired: true}); err != nil {
		return err
	}
	if _, isMember := m.find(name); !isMember {
		return nil // by an earlier call; the commit above covers it
	}
	return m.c.log.ChangeMember(ctx, consensus.MemberChange{Remove: replica.MemberID(name)})
}

// voters returns the number of voters of the log.
func (m *members) voters() int { return countVoters(m.c.log.Status().Members, "").all }

// find returns a member of the log by name.
func (m *members) find(name string) (operator.Member, bool) {
	if member := memberNamed(m.c.log.Status().Members, name); member != nil {
		return *member, true
	}
	return operator.Member{}, false
}
