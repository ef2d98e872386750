package consensus

import (
	"hash/crc32"

	"github.com/greengagelock/greengagelock/internal/result"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// outgoingSnapshot is a snapshot that is being sent to a peer.
type outgoingSnapshot struct {
	Snapshot
	checksum uint32
	offset   uint64
}

// incomingSnapshot is a snapshot that is being received.
type incomingSnapshot struct {
	meta     SnapshotMeta
	size     uint64
	checksum uint32
	data     []byte
}

// NewSnapshot returns a snapshot with data, the state of the state machine after the last entry passed
// to Advance. The host persists it and then passes it to Compact. NewSnapshot fails while a received
// snapshot is waiting to be installed.
func (n *Node) NewSnapshot(data []byte) (Snapshot, error) {
	index := n.log.applied
	term, ok := n.log.term(index)
	if !ok || index == 0 {
		return Snapshot{}, result.New(result.Internal, "cannot take a snapshot at index %d: the log has no such entry", index)
	}
	// A snapshot has the member lists alone, also during a transition. Their majorities overlap with those of the transition.
	meta := SnapshotMeta{Index: index, Term: term, Members: n.membersAt(index).Clone()}
	return Snapshot{SnapshotMeta: meta, Data: data}, nil
}

// Compact discards the entries up to keep, which is at most the index of s, and sends s to members that
// need discarded entries. The entries after keep still serve members that are only a little behind. s
// must have been persisted.
func (n *Node) Compact(keep uint64, s Snapshot) error {
	if keep > s.Index || s.Index > n.log.applied || s.Index < n.snapshot.Index {
		return result.New(result.Internal, "cannot compact up to index %d: snapshot at %d, applied index %d, previous snapshot at %d",
			keep, s.Index, n.log.applied, n.snapshot.Index)
	}
	n.snapshot = s
	n.log.compact(keep)
	for len(n.memberships) > 1 && n.memberships[1].Index <= keep {
		n.memberships = n.memberships[1:]
	}
	return nil
}

func (n *Node) startSnapshot(id MemberID, p *progress) {
	n.counters.SnapshotsSent++
	p.state = snapshotting
	p.inflight = nil
	p.isPaused = false
	p.snapshot = &outgoingSnapshot{Snapshot: n.snapshot, checksum: crc32.Checksum(n.snapshot.Data, castagnoli)}
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id MemberID, p *progress) {
	if p.isPaused {
		return
	}
	s := p.snapshot
	end := min(s.offset+uint64(n.cfg.SnapshotChunkSize), uint64(len(s.Data)))
	p.isPaused = true
	p.sentAt = n.now
	n.sendFromLeader(id, p, Message{SnapshotChunk: &SnapshotChunk{
		Meta: s.SnapshotMeta, Size: uint64(len(s.Data)), Checksum: s.checksum,
		Offset: s.offset, Data: s.Data[s.offset:end],
	}})
}

func (n *Node) handleSnapshotReply(p *progress, r *SnapshotReply) {
	if p.state != snapshotting || r.Index != p.snapshot.Index || r.Next > uint64(len(p.snapshot.Data)) {
		return
	}
	if r.Next == p.snapshot.offset && p.isPaused {
		return // a duplicate: the chunk at Next has already been sent
	}
	p.snapshot.offset = r.Next
	p.isPaused = false
}

func (n *Node) handleSnapshotChunk(m Message) error {
	c := m.SnapshotChunk
	if c.Size > MaxSnapshotSize || c.Offset > c.Size || uint64(len(c.Data)) > c.Size-c.Offset {
		return result.New(result.Internal, "member %d sent bytes %d to %d of a snapshot of %d bytes",
			m.From, c.Offset, c.Offset+uint64(len(c.Data)), c.Size)
	}
	if c.Meta.Index <= n.log.commit {
		n.incoming = nil
		n.reply(m, Message{AppendReply: &AppendReply{Match: n.log.commit}})
		return nil
	}
	if !n.incoming.matches(c) {
		n.incoming = &incomingSnapshot{meta: c.Meta, size: c.Size, checksum: c.Checksum}
	}
	in := n.incoming
	if c.Offset == uint64(len(in.data)) {
		in.data = append(in.data, c.Data...)
	}
	if uint64(len(in.data)) < in.size {
		n.reply(m, Message{SnapshotReply: &SnapshotReply{Index: c.Meta.Index, Next: uint64(len(in.data))}})
		return nil
	}
	n.incoming = nil
	if crc32.Checksum(in.data, castagnoli) != in.checksum {
		n.reply(m, Message{SnapshotReply: &SnapshotReply{Index: c.Meta.Index}})
		return result.New(result.Internal, "the snapshot at %d from member %d has a wrong checksum", c.Meta.Index, m.From)
	}
	n.installSnapshot(Snapshot{SnapshotMeta: in.meta, Data: in.data})
	n.reply(m, Message{AppendReply: &AppendReply{Match: n.log.commit}})
	return nil
}

func snapshotMembership(s *Snapshot) membership {
	return membership{Position: Position{Index: s.Index, Term: s.Term}, Members: s.Members}
}

func (in *incomingSnapshot) matches(c *SnapshotChunk) bool {
	return in != nil && in.meta.Index == c.Meta.Index && in.meta.Term == c.Meta.Term &&
		in.size == c.Size && in.checksum == c.Checksum
}

// installSnapshot replaces the log with a snapshot, unless the log already has all of its entries.
func (n *Node) installSnapshot(s Snapshot) {
	if n.log.matches(Position{Index: s.Index, Term: s.Term}) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(Position{Index: s.Index, Term: s.Term})
	n.memberships = []membership{snapshotMembership(&s)}
	n.snapshot = s
	n.pendingInstall = &s
	n.counters.SnapshotsInstalled++
}
