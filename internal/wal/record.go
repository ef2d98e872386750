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
	// recordBase records that the log continues after a received snapshot. Earlier entries are void.
	recordBase byte = 3
)

var errMalformedRecord = errors.New("a record is malformed")

// appendHardState appends a hard state record to b.
func appendHardState(b []byte, h consensus.HardState) []byte {
	b = append(b, recordHardState)
	b = binary.LittleEndian.AppendUint64(b, h.Term)
	b = binary.LittleEndian.AppendUint64(b, uint64(h.Vote))
	return binary.LittleEndian.AppendUint64(b, h.Commit)
}

// appendEntry appends an entry record to b.
func appendEntry(b []byte, e consensus.Entry) []byte {
	b = append(b, recordEntry, byte(e.Kind))
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(e.Data)))
	return append(b, e.Data...)
}

// appendBase appends a base record to b.
func appendBase(b []byte, p consensus.Position) []byte {
	b = append(b, recordBase)
	b = binary.LittleEndian.AppendUint64(b, p.Index)
	return binary.LittleEndian.AppendUint64(b, p.Term)
}

// Sizes of records in bytes, without the data of an entry.
const (
	hardStateSize = 25
	entrySize     = 22
	baseSize      = 17
)

// readRecords decodes the records of a payload into r.
func readRecords(payload []byte, r *replay) error {
	le := binary.LittleEndian
	for len(payload) > 0 {
		kind := payload[0]
		switch {
		case kind == recordHardState && len(payload) >= hardStateSize:
			r.hardState = consensus.HardState{
				Term: le.Uint64(payload[1:]), Vote: consensus.MemberID(le.Uint64(payload[9:])), Commit: le.Uint64(payload[17:]),
			}
			payload = payload[hardStateSize:]
		case kind == recordBase && len(payload) >= baseSize:
			r.setBase(consensus.Position{Index: le.Uint64(payload[1:]), Term: le.Uint64(payload[9:])})
			payload = payload[baseSize:]
		case kind == recordEntry && len(payload) >= entrySize:
			length := int(le.Uint32(payload[18:]))
			if len(payload) < entrySize+length {
				return errMalformedRecord
			}
			e := consensus.Entry{Index: le.Uint64(payload[2:]), Term: le.Uint64(payload[10:]), Kind: consensus.EntryKind(payload[1])}
			if length > 0 {
				e.Data = payload[entrySize : entrySize+length : entrySize+length]
			}
			if err := r.addEntry(e); err != nil {
				return err
			}
			payload = payload[entrySize+length:]
		default:
			return errMalformedRecord
		}
	}
	return nil
}

// encodeSnapshot returns the content of a snapshot file: one frame with the length of the metadata, the
// metadata as JSON, and the data. Its sequence number is the index of the snapshot.
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

// decodeSnapshot decodes the content of a snapshot file. It returns false if the content is damaged.
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
