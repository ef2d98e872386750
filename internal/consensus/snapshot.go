package consensus

import (
	"hash/crc32"

	"github.com/greengagelock/greengagelock/internal/result"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// outgoing is a snapshot on its way to a member.
type outgoing struct {
	Snapshot
	checksum uint32
	offset   uint64
}

// incoming is a snapshot of which some chunks have arrived.
type incoming struct {
	meta     SnapshotMeta
	size     uint64
	checksum uint32
	data     []byte
}

// NewSnapshot returns a snapshot of the state machine after the last entry that was handed to
// Advance. The shell stores it and then passes it to Compact. It fails while a received snapshot
// waits to be installed.
func (n *Node) NewSnapshot(data []byte) (Snapshot, error) {
	index := n.log.applied
	term, ok := n.log.term(index)
	if !ok || index == 0 {
		return Snapshot{}, result.New(result.Internal, "there is no entry %d to make a snapshot of", index)
	}
	meta := SnapshotMeta{Index: index, Term: term, Members: n.membersAt(index).Clone()}
	return Snapshot{SnapshotMeta: meta, Data: data}, nil
}

// Compact makes s the snapshot for members that are too far behind, and forgets the entries up
// to keep, which is at most the index of s. Entries after keep still serve members that are
// behind. s must be in storage.
func (n *Node) Compact(keep uint64, s Snapshot) error {
	if keep > s.Index || s.Index > n.log.applied || s.Index < n.snapshot.Index {
		return result.New(result.Internal, "entries up to %d, snapshot at %d, applied %d, last snapshot at %d",
			keep, s.Index, n.log.applied, n.snapshot.Index)
	}
	n.snapshot = s
	n.log.compact(keep)
	for len(n.history) > 1 && n.history[1].index <= keep {
		n.history = n.history[1:]
	}
	return nil
}

func (n *Node) startSnapshot(id MemberID, p *progress) {
	n.counters.SnapshotsSent++
	p.state = snapshotting
	p.inflight = nil
	p.paused = false
	p.snapshot = &outgoing{Snapshot: n.snapshot, checksum: crc32.Checksum(n.snapshot.Data, castagnoli)}
	n.sendChunk(id, p)
}

func (n *Node) sendChunk(id MemberID, p *progress) {
	if p.paused {
		return
	}
	s := p.snapshot
	end := min(s.offset+uint64(n.cfg.SnapshotChunkSize), uint64(len(s.Data)))
	p.paused = true
	p.sentAt = n.now
	n.sendLeading(id, p, Message{SnapshotChunk: &SnapshotChunk{
		Meta: s.SnapshotMeta, Size: uint64(len(s.Data)), Checksum: s.checksum,
		Offset: s.offset, Data: s.Data[s.offset:end],
	}})
}

func (n *Node) handleSnapshotReply(p *progress, r *SnapshotReply) {
	if p.state != snapshotting || r.Index != p.snapshot.Index || r.Next > uint64(len(p.snapshot.Data)) {
		return
	}
	if r.Next == p.snapshot.offset && p.paused {
		return // a duplicate; the chunk at Next is on its way
	}
	p.snapshot.offset = r.Next
	p.paused = false
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
	if !n.incoming.sameAs(c) {
		n.incoming = &incoming{meta: c.Meta, size: c.Size, checksum: c.Checksum}
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
	n.restore(Snapshot{SnapshotMeta: in.meta, Data: in.data})
	n.reply(m, Message{AppendReply: &AppendReply{Match: n.log.commit}})
	return nil
}

func (in *incoming) sameAs(c *SnapshotChunk) bool {
	return in != nil && in.meta.Index == c.Meta.Index && in.meta.Term == c.Meta.Term &&
		in.size == c.Size && in.checksum == c.Checksum
}

// restore replaces the log by a snapshot, unless the log has all of its entries.
func (n *Node) restore(s Snapshot) {
	if n.log.matches(Position{Index: s.Index, Term: s.Term}) {
		n.commitTo(s.Index)
		return
	}
	n.log.reset(Position{Index: s.Index, Term: s.Term})
	n.history = []membersAt{{index: s.Index, Members: s.Members}}
	n.snapshot = s
	n.install = &s
	n.counters.SnapshotsInstalled++
}
