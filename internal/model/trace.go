package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// TraceID is the ID of the trace of an edit of the configuration: 16 bytes, or empty for none. It is a string
// because gob omits an empty string, but not a zero array.
type TraceID string

// TraceOf derives the trace ID of an edit from its command ID. Every process derives the same ID, so commands
// need not carry it.
func TraceOf(commandID string) TraceID {
	if commandID == "" {
		return ""
	}
	id := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String("trace high "+commandID))
	return TraceID(binary.BigEndian.AppendUint64(id, xxhash.Sum64String("trace low "+commandID)))
}
