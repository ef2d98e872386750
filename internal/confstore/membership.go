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
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// requestMembership asks other controllers for membership, as long as this one is not a voter with a known leader: it
// may be new, or have been removed while it was cut off.
func (c *Controller) requestMembership(ctx context.Context) {
	hasBeenVoter := false
	for ctxtime.Sleep(ctx, repair.JoinInterval) {
		status := c.log.Status()
		isVoter := c.isVoter(status)
		hasBeenVoter = hasBeenVoter || isVoter
		if status.IsLeader || (status.Leader != "" && isVoter) || c.stopping.Load() {
			continue
		}
		request := JoinRequest{
			Name: c.name, Level: roster.Level, Founding: c.cfg.Bootstrap && !hasBeenVoter, Losses: uint8(c.cfg.FaultTolerance),
		}
		var wg sync.WaitGroup
		for _, address := range c.joinAddresses(status) {
			wg.Go(func() { c.join(ctx, address, request) })
		}
		wg.Wait()
	}
}

// join sends a join request to the controller at an address, and records the controllers that the reply names.
func (c *Controller) join(ctx context.Context, address string, request JoinRequest) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	reply, err := rpc.Call[JoinReply](ctx, c.transport.clientAt(address), peerService+".Join", &request)
	if err != nil {
		// Some addresses may belong to controllers that are down. The next round retries them.
		c.tel.Logger.Debug().Str("controller", address).Err(err).Msg("join request failed")
		return
	}
	// The leader is often none of the controllers that this one was told of.
	for _, name := range append(reply.Members, reply.Leader) {
		if name != "" && name != c.name {
			c.addPeer(name)
		}
	}
}

func (c *Controller) isVoter(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.Name == c.name && !m.Learner })
}

// joinAddresses returns the addresses to which join requests are sent. A learner that knows its leader asks only
// that; otherwise they are those of all other known controllers: seeds, members, and controllers that have called or
// were named in a reply.
func (c *Controller) joinAddresses(status replica.Status) []string {
	if status.Leader != "" {
		if _, address := c.directory.Find(replica.MemberID(status.Leader)); address != "" {
			return []string{address}
		}
	}
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
	for _, address := range c.peerAddresses {
		add(address)
	}
	return addresses
}

// leave tells the leader that this controller stops, if it is a voter that a learner can replace, and waits until it has
// been replaced. A leader of an older build does not know the call; the controller then is replaced once it is lost.
func (c *Controller) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	isLearner := func(m replica.Member) bool { return m.Learner }
	for status := c.log.Status(); c.isVoter(status) && slices.ContainsFunc(status.Members, isLearner); status = c.log.Status() {
		client, err := c.leaderClient()
		if err == nil {
			_, err = rpc.Call[LeaveReply](ctx, client, peerService+".Leave", &LeaveRequest{Name: c.name})
		}
		if err != nil && result.CodeOf(err) != result.NoQuorum && result.CodeOf(err) != result.NotLeader {
			c.tel.Logger.Warn().Str("member", c.name).Err(err).Msg("the leader was not told that this controller stops")
			return
		}
		if !ctxtime.Sleep(ctx, repairInterval) {
			return
		}
	}
}

// repairMembers changes the members while this controller is the leader: it adds controllers that asked to
// join and replaces lost ones.
func (c *Controller) repairMembers(ctx context.Context) {
	for ctxtime.Sleep(ctx, repairInterval) {
		status := c.log.Status()
		if !status.IsLeader {
			continue
		}
		change := repair.Decide(c.repairGroup(status))
		if change.Kind == repair.None {
			continue
		}
		err := c.applyChange(ctx, change, status)
		c.tel.Logger.Info().Str("member", change.Name).Uint8("change", uint8(change.Kind)).Str("reason", change.Reason).
			Err(err).Msg("store membership change")
	}
}

// repairGroup returns the input of repair.Decide. It drops join requests older than repair.JoinLease.
func (c *Controller) repairGroup(status replica.Status) repair.Group {
	c.mu.Lock()
	defer c.mu.Unlock()
	g := repair.Group{Commit: status.Commit, Losses: c.cfg.FaultTolerance}
	for name, r := range c.joinRequests {
		if time.Since(r.at) > repair.JoinLease {
			delete(c.joinRequests, name)
			continue
		}
		g.Losses = max(g.Losses, r.losses)
		g.Joining = append(g.Joining, repair.Member{ID: replica.MemberID(name), Name: name})
	}
	for name, at := range c.leaving {
		if time.Since(at) > leaveTimeout {
			delete(c.leaving, name)
		}
	}
	for _, m := range status.Members {
		_, leaving := c.leaving[m.Name]
		address := ""
		if ip, err := memberIP(m.Name); err == nil {
			address = ip.String()
		}
		g.Members = append(g.Members, repair.Member{
			ID: m.ID, Name: m.Name, Address: address, Voter: !m.Learner, Match: m.Match, ContactAge: m.ContactAge,
			Self: m.Name == c.name, Founding: c.joinRequests[m.Name].founding, Leaving: leaving,
		})
	}
	return g
}

// applyChange runs one change of the members through the log.
func (c *Controller) applyChange(ctx context.Context, change repair.Change, status replica.Status) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	switch change.Kind {
	case repair.AddLearner:
		if err := c.commitMemberNames(ctx, change.Name, status); err != nil {
			return err
		}
		return c.log.ChangeMember(ctx, consensus.MemberChange{AddLearner: change.ID})
	case repair.Promote:
		return c.log.ChangeMember(ctx, consensus.MemberChange{Promote: change.ID})
	default:
		return c.log.ChangeMember(ctx, consensus.MemberChange{Remove: change.ID})
	}
}

// commitMemberNames commits the names of all members and of a new one before the new one is added, so
// that every member can resolve its ID to an address.
func (c *Controller) commitMemberNames(ctx context.Context, name string, status replica.Status) error {
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
	_, err = c.commit(ctx, data)
	return err
}
