package wal

import (
	"encoding/binary"
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// Kinds of records in the payload of a frame.
const (
	recordHardState byte = 1
	recordEntry     byte = 2
	// recordBase says that the log starts anew after a snapshot that was received.
	recordBase byte = 3
)

var errRecord = errors.New("a record is malformed")

func appendHardState(b []byte, h consensus.HardState) []byte {
	b = append(b, recordHardState)
	b = binary.LittleEndian.AppendUint64(b, h.Term)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Vote))
	return binary.LittleEndian.AppendUint64(b, h.Commit)
}

func appendEntry(b []byte, e consensus.Entry) []byte {
	b = append(b, recordEntry, byte(e.Kind))
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Data)))
	return append(b, e.Data...)
}

func appendBase(b []byte, p consensus.Position) []byte {
	b = append(b, recordBase)
	b = binary.LittleEndian.AppendUint64(b, p.Index)
	return binary.LittleEndian.AppendUint64(b, p.Term)
}

// Sizes of records without the data of an entry.
const (
	hardStateSize = 25
	entrySize     = 22
	baseSize      = 17
)

// readRecords passes the records of a payload on to r.
func readRecords(payload []byte, r *replay) error {
	le := binary.LittleEndian
	for len(payload) > 0 {
		kind := payload[0]
		switch {
		case kind == recordHardState && len(payload) >= hardStateSize:
			r.hard = consensus.HardState{
				Term: le.Uint64(payload[1:]), Vote: consensus.MemberID(le.Uint64(payload[9:])), Commit: le.Uint64(payload[17:]),
			}
			payload = payload[hardStateSize:]
		case kind == recordBase && len(payload) >= baseSize:
			r.reset(consensus.Position{Index: le.Uint64(payload[1:]), Term: le.Uint64(payload[9:])})
			payload = payload[baseSize:]
		case kind == recordEntry && len(payload) >= entrySize:
			length := int(le.Uint32(payload[18:]))
			if len(payload) < entrySize+length {
				return errRecord
			}
			e := consensus.Entry{Index: le.Uint64(payload[2:]), Term: le.Uint64(payload[10:]), Kind: consensus.EntryKind(payload[1])}
			if length > 0 {
				e.Data = payload[entrySize : entrySize+length : entrySize+length]
			}
			if err := r.add(e); err != nil {
				return err
			}
			payload = payload[entrySize+length:]
		default:
			return errRecord
		}
	}
	return nil
}

// encodeSnapshot returns the frame that is the content of a snapshot file.
func encodeSnapshot(s consensus.Snapshot) ([]byte, error) {
	meta, err := json.Marshal(s.SnapshotMeta)
	if err != nil {
		return nil, err
	}
	b := newFrame(4 + len(meta) + len(s.Data))
	b = binary.LittleEndian.AppendUint32(b, uint32(len(meta)))
	b = append(b, meta...)
	b = append(b, s.Data...)
	return sealFrame(b, s.Index), nil
}

func decodeSnapshot(content []byte) (consensus.Snapshot, bool) {
	var s consensus.Snapshot
	f, ok := parseFrame(content)
	if !ok || len(f.payload) < 4 {
		return s, false
	}
	length := int(binary.LittleEndian.Uint32(f.payload))
	if len(f.payload) < 4+length {
		return s, false
	}
	if json.Unmarshal(f.payload[4:4+length], &s.SnapshotMeta) != nil || s.Index != f.sequence {
		return s, false
	}
	s.Data = f.payload[4+length:]
	return s, true
}
