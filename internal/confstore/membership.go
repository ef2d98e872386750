package confstore

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// requestMembership asks other controllers for membership as long as that is needed.
func (c *Controller) requestMembership(ctx context.Context) {
	for ctxtime.Sleep(ctx, repair.JoinInterval) {
		view := c.membershipView()
		c.mu.Lock()
		addresses := c.joiner.Next(view)
		request := JoinRequest{Name: c.name, Level: roster.Level, Zone: c.cfg.Zone, Founding: c.joiner.Founding(), Losses: uint8(c.cfg.FaultTolerance)}
		c.mu.Unlock()
		var wg sync.WaitGroup
		for _, address := range addresses {
			wg.Go(func() { c.join(ctx, address, request) })
		}
		wg.Wait()
	}
}

// membershipView returns what this controller knows of the group.
func (c *Controller) membershipView() repair.View {
	status := c.log.Status()
	v := repair.View{Leads: status.IsLeader, Votes: c.isVoter(status), HasLeader: status.Leader != ""}
	if v.HasLeader {
		_, v.LeaderAddress = c.directory.Find(replica.MemberID(status.Leader))
	}
	for _, m := range status.Members {
		v.Members = append(v.Members, m.Address)
	}
	return v
}

// join sends a join request to the controller at an address, and records the controllers that the reply names.
func (c *Controller) join(ctx context.Context, address string, request JoinRequest) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	reply, err := rpc.Call[JoinReply](ctx, c.transport.clientAt(address), peerService+".Join", &request)
	c.recordJoin(address, reply, err)
	if err != nil {
		return // some addresses may belong to controllers that are down; the next round retries them
	}
	// The leader is often none of the controllers that this one was told of.
	for _, name := range append(reply.Members, reply.Leader) {
		if name != "" && name != c.name {
			c.addPeer(name)
		}
	}
}

// recordJoin logs the result of a join request of a controller that is no voter, if it differs from the last one of the
// address. A controller that never becomes a member shows in this way whether nobody answers, or who answers without
// knowing a leader.
func (c *Controller) recordJoin(address string, reply *JoinReply, err error) {
	outcome := result.CodeOf(err).String()
	if err == nil {
		outcome = reply.Leader
	}
	c.mu.Lock()
	last, isKnown := c.joinOutcomes[address]
	c.joinOutcomes[address] = outcome
	c.mu.Unlock()
	if isKnown && last == outcome || c.isVoter(c.log.Status()) {
		return
	}
	entry := c.tel.Logger.Info().Str("controller", address).Err(err)
	if err == nil {
		entry.Str("leader", reply.Leader).Strs("members", reply.Members)
	}
	entry.Msg("result of join requests changed")
}

func (c *Controller) isVoter(status replica.Status) bool {
	return slices.ContainsFunc(status.Members, func(m replica.Member) bool { return m.Name == c.name && !m.Learner })
}

// leave tells the leader that this controller stops, if the group can do without it, and stays until its removal is
// committed. A leader of an older build does not know the call; the controller then is replaced once it is lost.
func (c *Controller) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, repair.LeaveTimeout)
	defer cancel()
	leaver := repair.Leaver{Losses: c.cfg.FaultTolerance}
	for c.staysAsMember(&leaver) {
		client, err := c.leaderClient()
		if err == nil {
			_, err = rpc.Call[LeaveReply](ctx, client, peerService+".Leave", &LeaveRequest{Name: c.name})
		}
		// An older build does not know the call. Any other error may be over with the next leader.
		if result.CodeOf(err) == result.Internal && !errors.Is(err, rpc.ErrUnreachable) {
			c.tel.Logger.Warn().Str("member", c.name).Err(err).Msg("the leader was not told that this controller stops")
			return
		}
		if !ctxtime.Sleep(ctx, repairInterval) {
			return
		}
	}
}

// staysAsMember reports whether this controller, whose process is stopping, has to wait for its removal.
func (c *Controller) staysAsMember(leaver *repair.Leaver) bool {
	status := c.log.Status()
	voters, learners := 0, 0
	for _, m := range status.Members {
		if m.Learner {
			learners++
		} else {
			voters++
		}
	}
	return leaver.Stays(c.isVoter(status) || !status.MembersCommitted, voters, learners)
}

// repairMembers changes the members while this controller is the leader: it adds controllers that asked to
// join and replaces lost ones.
func (c *Controller) repairMembers(ctx context.Context) {
	for wait := repairInterval; ctxtime.Sleep(ctx, wait); {
		wait = repairInterval
		status := c.log.Status()
		if !status.IsLeader {
			c.repairs.clear()
			continue
		}
		g := c.repairGroup(status)
		change := repair.Decide(g)
		c.repairs.observe(&g, &change)
		if change.Kind != repair.None {
			err := c.applyChange(ctx, change, status)
			c.repairs.finish(&change, err)
			if err == nil {
				wait = 0 // a step of two voters is finished at once
			}
		}
	}
}

// repairGroup returns the input of repair.Decide.
func (c *Controller) repairGroup(status replica.Status) repair.Group {
	var members []repair.Member
	for _, m := range status.Members {
		address := ""
		if ip, err := memberIP(m.Name); err == nil {
			address = ip.String()
		}
		members = append(members, repair.Member{
			ID: m.ID, Name: m.Name, Address: address, Voter: !m.Learner, Match: m.Match, ContactAge: m.ContactAge, Heard: m.Heard, Self: m.Name == c.name,
		})
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range members {
		members[i].Zone = c.peers[members[i].Name].zone
		if members[i].Self {
			members[i].Zone = c.cfg.Zone
		}
	}
	g := c.requests.Group(c.now(), members, status.Commit, c.cfg.FaultTolerance)
	g.Transition = status.Transition
	return g
}

// applyChange runs a change of the members through the log.
func (c *Controller) applyChange(ctx context.Context, change repair.Change, status replica.Status) error {
	ctx, cancel := context.WithTimeout(ctx, memberChangeTimeout)
	defer cancel()
	if change.Kind == repair.AddLearner {
		if err := c.commitMemberNames(ctx, change.Name, status); err != nil {
			return err
		}
	}
	return c.log.ChangeMember(ctx, change.ForLog())
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
