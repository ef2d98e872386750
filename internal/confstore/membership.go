package confstore

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// joinMembers asks to become a member while this controller hears no leader: it may be new, or have
// been removed while it was cut off.
func (c *Controller) joinMembers(ctx context.Context) {
	for ctxtime.Sleep(ctx, repair.JoinInterval) {
		status := c.log.Status()
		if status.IsLeader || (status.Leader != "" && c.isVoter(status)) {
			continue
		}
		var wg sync.WaitGroup
		for _, address := range c.joinAddresses(status) {
			wg.Go(func() {
				limited, cancel := context.WithTimeout(ctx, stepTimeout)
				defer cancel()
				reply, err := rpc.Call[JoinReply](limited, c.transport.clientAt(address), peerService+".Join", &JoinRequest{Name: c.name})
				if err != nil {
					// Some of the addresses are of controllers that are down; they are asked again soon.
					c.tel.Logger.Debug().Str("controller", address).Err(err).Msg("a controller was not asked to be let in")
					return
				}
				c.learn(reply.Members...)
			})
		}
		wg.Wait()
	}
}

func (c *Controller) isVoter(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.Name == c.name && !m.Learner })
}

// joinAddresses returns the addresses of all controllers that this one has heard of.
func (c *Controller) joinAddresses(status replica.Status) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var addresses []string
	add := func(address string) {
		if address != "" && address != c.peerAddress(c.name) && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	for _, ip := range c.seeds {
		add(netip.AddrPortFrom(ip, c.cfg.Port).String())
	}
	for _, m := range status.Members {
		add(m.Address)
	}
	for _, address := range c.peerNames {
		add(address)
	}
	return addresses
}

// repairMembers lets the leader change the members where that is needed.
func (c *Controller) repairMembers(ctx context.Context) {
	for ctxtime.Sleep(ctx, repairInterval) {
		status := c.log.Status()
		if !status.IsLeader {
			continue
		}
		change := repair.Decide(c.group(status))
		if change.Kind == repair.None {
			continue
		}
		err := c.carryOut(ctx, change, status)
		c.tel.Logger.Info().Str("member", change.Name).Uint8("change", uint8(change.Kind)).Str("reason", change.Reason).
			Err(err).Msg("members of the store change")
	}
}

func (c *Controller) group(status replica.Status) repair.Group {
	g := repair.Group{Commit: status.Commit}
	for _, m := range status.Members {
		ip, err := addressOf(m.Name)
		if err != nil {
			ip = netip.Addr{}
		}
		g.Members = append(g.Members, repair.Member{
			Name: m.Name, Address: ip.String(), Voter: !m.Learner, Match: m.Match, ContactAge: m.ContactAge, Self: m.Name == c.name,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, at := range c.joining {
		if time.Since(at) > repair.JoinLease {
			delete(c.joining, name)
			continue
		}
		g.Joining = append(g.Joining, repair.Member{Name: name})
	}
	return g
}

func (c *Controller) carryOut(ctx context.Context, change repair.Change, status replica.Status) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	id := replica.MemberID(change.Name)
	switch change.Kind {
	case repair.Add:
		if err := c.registerNames(ctx, change.Name, status); err != nil {
			return err
		}
		return c.log.ChangeMember(ctx, consensus.MemberChange{AddLearner: id})
	case repair.Promote:
		return c.log.ChangeMember(ctx, consensus.MemberChange{Promote: id})
	default:
		return c.log.ChangeMember(ctx, consensus.MemberChange{Remove: id})
	}
}

// registerNames makes the names of the members and of a new one durable before it is added, so that
// every member can resolve it.
func (c *Controller) registerNames(ctx context.Context, name string, status replica.Status) error {
	names := []string{name}
	for _, m := range status.Members {
		names = append(names, m.Name)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if slices.Equal(names, c.state.memberNames()) {
		return nil
	}
	data, err := encodeMembers(names)
	if err != nil {
		return err
	}
	return c.commit(ctx, data)
}
