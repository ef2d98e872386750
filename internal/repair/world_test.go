package repair_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/repair"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

const (
	messageDelay   = 2 * time.Millisecond
	repairInterval = 100 * time.Millisecond
	// commitInterval is the time between two entries that the world proposes while a leader is known.
	commitInterval = 200 * time.Millisecond
)

// world runs the decisions of membership of some controllers with the real log, on simulated disks, clocks and network.
type world struct {
	testkit.Timeline
	rand   *rand.Rand
	fault  fault
	losses int // that the controllers know of; zero if it is not set
	vms    []*vm
	seeds  []string
	// cut counts what keeps messages from passing between a pair of VMs, from and to.
	cut map[[2]*vm]int
	// stuck holds until when the transport between a pair of VMs waits for a call that gets no answer, or pauses after it.
	stuck     map[[2]*vm]time.Duration
	lossRate  float64           // share of messages that get lost
	jitter    time.Duration     // largest random part of the delay of a message
	committed []consensus.Entry // by index, from 1
	onMembers func()            // called after a change of the members on a disk; may be nil
	leaders   map[uint64]string // by term
	// transitions holds the entries of which older builds read a part only.
	transitions map[consensus.Position][]byte
	proposed    uint64 // last number that was proposed
	problems    []string
}

// vm is a VM that runs a controller, or did.
type vm struct {
	w       *world
	address string
	disk    *disk
	proc    *proc         // nil while no process runs
	first   bool          // the process starts with the whole system
	gone    bool          // for good
	old     bool          // the process is of the production build
	delay   time.Duration // of the messages of a slow VM
}

// proc is a running process.
type proc struct {
	*vm
	node      *consensus.Node
	startedAt time.Duration
	tickAt    time.Duration
	pausedTo  time.Duration
	joiner    *repair.Joiner
	requests  *repair.Requests
	directory map[consensus.MemberID]string // names
	names     []string                      // committed
	// applied counts the entries since the last snapshot.
	applied  int
	joinedAt time.Duration // time at which the last round of join requests ends
}

func (w *world) run(d time.Duration) {
	for end := w.Now + d; len(w.problems) == 0 && w.RunNext(end); {
	}
}

func (w *world) problem(format string, args ...any) {
	w.problems = append(w.problems, fmt.Sprintf("%v: ", w.Now)+fmt.Sprintf(format, args...))
}

// memberID hashes a name as the product does, in a few bits less.
func memberID(name string) consensus.MemberID {
	h := uint64(14695981039346656037)
	for i := range len(name) {
		h = (h ^ uint64(name[i])) * 1099511628211
	}
	return consensus.MemberID(h | 1)
}

func addressOf(name string) string {
	address, _, _ := strings.Cut(name, "/")
	return address
}

// newWorld starts a number of controllers, of which the first three are the seeds, and lets them form a group.
func newWorld(seed uint64, size, losses int, f fault) *world {
	w := createWorld(seed, size, losses, f)
	w.run(5 * time.Second)
	return w
}

// createWorld returns the world of newWorld before its controllers start.
func createWorld(seed uint64, size, losses int, f fault) *world {
	w := &world{
		rand: rand.New(rand.NewPCG(seed, 1)), fault: f, losses: losses, cut: map[[2]*vm]int{}, stuck: map[[2]*vm]time.Duration{}, leaders: map[uint64]string{},
		transitions: map[consensus.Position][]byte{},
		committed:   make([]consensus.Entry, 1),
	}
	for range size {
		w.addVM(true)
	}
	for _, v := range w.vms[:min(size, 3)] {
		w.seeds = append(w.seeds, v.address)
	}
	for _, v := range w.vms {
		w.After(time.Duration(w.rand.Int64N(int64(300*time.Millisecond))), v.start)
	}
	w.proposeEntries()
	return w
}

func (w *world) addVM(first bool) *vm {
	v := &vm{w: w, address: fmt.Sprintf("vm%d", len(w.vms)+1), first: first}
	w.vms = append(w.vms, v)
	return v
}

// start starts the process of a VM. Without a disk it gets an empty one.
func (v *vm) start() {
	if v.proc != nil || v.gone {
		return
	}
	if v.disk == nil {
		v.disk = &disk{name: fmt.Sprintf("%s/%d", v.address, v.w.rand.Uint32())}
		if v.first && slices.Contains(v.w.seeds, v.address) {
			v.disk.name = v.address + "/first"
			for _, s := range v.w.seeds {
				v.disk.founders = append(v.disk.founders, s+"/first")
			}
		}
	}
	v.disk.state.Entries = v.w.entriesFor(v.old, v.disk.state.Entries)
	v.disk.readMembers()
	p := &proc{
		vm: v, startedAt: v.w.Now, joiner: repair.NewJoiner(v.address, v.w.seeds, v.first), requests: repair.NewRequests(),
		directory: map[consensus.MemberID]string{memberID(v.disk.name): v.disk.name},
	}
	var founders []consensus.MemberID
	for _, name := range v.disk.founders {
		founders = append(founders, memberID(name))
		if v.first || !p.has(forgetFirstNames) {
			p.directory[memberID(name)] = name
		}
	}
	p.takeNames(string(v.disk.state.Snapshot.Data))
	v.first = false
	var err error
	p.node, err = consensus.New(consensus.Config{
		ID: memberID(v.disk.name), Members: founders, Rand: rand.New(rand.NewPCG(v.w.rand.Uint64(), 1)),
	}, v.disk.state)
	if err != nil {
		v.w.problem("%s does not start: %v", v.address, err)
		return
	}
	v.proc = p
	p.afterInput()
	p.every(repairInterval, p.repair)
	p.every(repair.JoinInterval, p.requestMembership)
}

func (p *proc) clock() time.Duration { return p.w.Now - p.startedAt }

// when runs f at once or at the end of a pause, if the process still runs then.
func (p *proc) when(f func()) {
	switch {
	case p.proc != p:
	case p.pausedTo > p.w.Now:
		p.w.After(p.pausedTo-p.w.Now, func() { p.when(f) })
	default:
		f()
	}
}

func (p *proc) every(interval time.Duration, f func()) {
	p.w.After(interval, func() {
		p.when(f)
		if p.proc == p {
			p.every(interval, f)
		}
	})
}

// crash ends the process at once.
func (v *vm) crash() { v.proc = nil }

// terminate ends the process as SIGTERM does: it hands over its duties first. then runs after its end.
func (v *vm) terminate(then func()) {
	p := v.proc
	if p == nil {
		then()
		return
	}
	p.joiner.Stop()
	_ = p.node.TransferLeadership(0)
	p.afterInput()
	deadline := v.w.Now + 2*time.Second
	leaver := repair.Leaver{Losses: v.w.losses}
	var leave func()
	leave = func() {
		if v.proc == p && v.w.Now < deadline && p.pausedTo <= v.w.Now && p.stays(&leaver) {
			if leader := p.directory[p.leader()]; leader != "" {
				v.w.send(v, addressOf(leader), func(to *proc) { to.requests.Leave(to.clock(), v.disk.name) })
			}
			v.w.After(repairInterval, leave)
			return
		}
		v.crash()
		then()
	}
	v.w.After(repairInterval, leave)
}

func (w *world) at(address string) *vm {
	for _, v := range w.vms {
		if v.address == address {
			return v
		}
	}
	return nil
}

// send runs f at the process at an address, unless the network or the process are down.
func (w *world) send(from *vm, address string, f func(to *proc)) {
	to := w.at(address)
	if to == nil || w.cut[[2]*vm{from, to}] > 0 || w.rand.Float64() < w.lossRate {
		return
	}
	w.After(messageDelay+from.delay+to.delay+time.Duration(w.rand.Int64N(int64(w.jitter)+1)), func() {
		if p := to.proc; p != nil {
			p.when(func() { f(p) })
		}
	})
}

func (p *proc) leader() consensus.MemberID { return p.node.Status(p.clock()).Leader }

func (p *proc) isVoter() bool { return p.node.Members().IsVoter(memberID(p.disk.name)) }

// addPeer records the name and the address of a controller that has called or was named.
func (p *proc) addPeer(name string) {
	p.directory[memberID(name)] = name
	p.joiner.Learn(addressOf(name))
}

func (p *proc) nameOf(id consensus.MemberID) string {
	if name := p.directory[id]; name != "" {
		return name
	}
	return fmt.Sprintf("member-%016x", uint64(id))
}

// afterInput does what the node has pending, and schedules its next timer.
func (p *proc) afterInput() {
	if p.proc != p {
		return
	}
	for {
		ready, ok := p.node.Ready()
		if !ok {
			break
		}
		p.persist(ready)
		for _, m := range ready.Messages {
			name := p.disk.name
			if to := p.directory[m.To]; to != "" && p.w.connects(p.vm, addressOf(to)) {
				p.w.send(p.vm, addressOf(to), func(q *proc) {
					delete(p.w.stuck, [2]*vm{q.vm, p.vm})
					q.addPeer(name)
					_ = q.node.Step(p.w.messageFor(q.old, m), q.clock()) // a message to an earlier controller of the VM is refused
					q.afterInput()
				})
			}
		}
		p.applyAll(ready)
		p.node.Advance(ready)
		p.compact()
		p.checkLeader(ready.SoftState)
	}
	due := p.node.Deadline()
	if p.tickAt != due {
		p.tickAt = due
		p.w.After(max(due-p.clock(), 0), func() {
			p.when(func() {
				if p.tickAt == due {
					p.tickAt = -1
					p.node.Tick(p.clock())
					p.afterInput()
				}
			})
		})
	}
}

func (p *proc) checkLeader(s consensus.SoftState) {
	if s.Role != consensus.Leader {
		return
	}
	if other := p.w.leaders[s.Term]; other != "" && other != p.disk.name {
		p.w.problem("%s and %s both lead in term %d", other, p.disk.name, s.Term)
	}
	p.w.leaders[s.Term] = p.disk.name
}

// apply checks that an entry is the one that others have applied at its index, and takes the names of members from it.
func (p *proc) apply(e consensus.Entry) {
	switch {
	case e.Index == uint64(len(p.w.committed)):
		p.w.committed = append(p.w.committed, e)
	case e.Index > uint64(len(p.w.committed)):
		p.w.problem("%s applies entry %d after %d", p.disk.name, e.Index, len(p.w.committed)-1)
	case p.w.committed[e.Index].Term != e.Term:
		p.w.problem("%s applies another entry %d", p.disk.name, e.Index)
	}
	if e.Kind == consensus.EntryCommand {
		p.takeNames(string(e.Data))
	}
}

// takeNames takes the names of the members from an entry or a snapshot, if that has some.
func (p *proc) takeNames(data string) {
	names, ok := strings.CutPrefix(data, namesPrefix)
	if !ok {
		return
	}
	p.names = strings.Fields(names)
	for _, name := range p.names {
		p.directory[memberID(name)] = name
	}
}

// requestMembership sends the join requests that are due.
func (p *proc) requestMembership() {
	v := repair.View{Leads: p.node.Status(p.clock()).Role == consensus.Leader, Votes: p.isVoter(), HasLeader: p.leader() != 0}
	if name := p.directory[p.leader()]; name != "" {
		v.LeaderAddress = addressOf(name)
	}
	members := p.node.Members()
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		if name := p.directory[id]; name != "" {
			v.Members = append(v.Members, addressOf(name))
		}
	}
	if p.w.Now < p.joinedAt {
		return
	}
	addresses := p.joiner.Next(v)
	if slices.ContainsFunc(addresses, func(a string) bool { return !p.w.reaches(p.vm, p.w.at(a)) }) {
		p.joinedAt = p.w.Now + repair.JoinInterval + stepTimeout
	}
	request := repair.Request{ID: memberID(p.disk.name), Name: p.disk.name, Founding: p.joiner.Founding(), Losses: p.w.losses}
	if p.w.fault == growOnPlannedReplacement {
		request.Founding = true
	}
	if p.old {
		request.Founding, request.Losses = false, 0
	}
	for _, address := range addresses {
		p.w.send(p.vm, address, func(q *proc) { q.receiveJoin(p, request, false) })
	}
}

// receiveJoin handles a join request of the process from.
func (p *proc) receiveJoin(from *proc, request repair.Request, forwarded bool) {
	p.addPeer(request.Name)
	p.requests.Join(p.clock(), request)
	leader := p.directory[p.leader()]
	if leader != "" && leader != p.disk.name && !forwarded && !p.has(askSeedsOnly) {
		p.w.send(p.vm, addressOf(leader), func(q *proc) { q.receiveJoin(from, request, true) })
	}
	members := p.node.Members()
	names := []string{leader}
	for _, id := range slices.Concat(members.Voters, members.Learners) {
		names = append(names, p.directory[id])
	}
	if forwarded || p.has(askSeedsOnly) {
		return
	}
	p.w.send(p.vm, from.address, func(q *proc) {
		for _, name := range names {
			if name != "" && name != q.disk.name {
				q.addPeer(name)
			}
		}
	})
}

// group returns the input of repair.Decide of a leader.
func (p *proc) group() repair.Group {
	status := p.node.Status(p.clock())
	var members []repair.Member
	for _, id := range slices.Concat(status.Members.Voters, status.Members.Learners) {
		m := repair.Member{ID: id, Name: p.nameOf(id), Voter: status.Members.IsVoter(id), Match: status.Last, Self: id == status.ID}
		if p.directory[id] != "" {
			m.Address = addressOf(m.Name)
		}
		for _, peer := range status.Peers {
			if peer.ID == id {
				m.Match, m.ContactAge, m.Heard = peer.Match, peer.ContactAge, peer.Heard
			}
		}
		members = append(members, m)
	}
	g := p.requests.Group(p.clock(), members, status.Commit, p.w.losses)
	g.Transition = status.Transition
	return g
}

// repair makes the change that is due, if the process leads.
func (p *proc) repair() {
	if p.node.Status(p.clock()).Role != consensus.Leader {
		return
	}
	g := p.group()
	change := p.decide(g)
	if change.Kind != repair.None {
		p.w.tracef("leader %s: %v %s: %s", p.disk.name, change.Kind, change.Name, change.Reason)
	}
	if p.has(forgetFirstNames) {
		change.ID = memberID(change.Name)
		if change.Other != 0 {
			change.Other = memberID(p.nameOf(change.Other))
		}
	}
	switch change.Kind {
	case repair.None:
		return
	case repair.AddLearner:
		names := []string{change.Name}
		for _, m := range g.Members {
			names = append(names, m.Name)
		}
		slices.Sort(names)
		if !slices.Equal(names, p.names) {
			_, _ = p.node.Propose([]byte(namesPrefix + strings.Join(names, " ")))
			break
		}
		_, _ = p.node.ProposeMemberChange(change.ForLog())
	default:
		if _, err := p.node.ProposeMemberChange(change.ForLog()); err != nil {
			p.w.tracef("refused: %v", err)
		}
	}
	p.afterInput()
}

// proposeEntries proposes an entry now and then at the leader that runs.
func (w *world) proposeEntries() {
	if p := w.leaderProc(); p != nil && p.pausedTo <= w.Now {
		w.proposed++
		_, _ = p.node.Propose(fmt.Append(nil, w.proposed))
		p.afterInput()
	}
	w.After(commitInterval, w.proposeEntries)
}

// leaderProc returns the leader of the highest term that runs, or nil.
func (w *world) leaderProc() *proc {
	var leader *proc
	term := uint64(0)
	for _, v := range w.vms {
		if v.proc == nil {
			continue
		}
		if s := v.proc.node.Status(v.proc.clock()); s.Role == consensus.Leader && s.Term > term {
			leader, term = v.proc, s.Term
		}
	}
	return leader
}

func (w *world) running() []*vm {
	return slices.DeleteFunc(slices.Clone(w.vms), func(v *vm) bool { return v.proc == nil })
}
