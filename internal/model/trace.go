package model

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// TraceID is the ID of the trace of a configuration change: 16 bytes, or empty for none. It is a
// string because gob leaves out an empty string, but not an array.
type TraceID string

// TraceOf derives the trace ID of a configuration change from its command ID. Every process
// derives it alike, so that commands need not carry it.
func TraceOf(commandID string) TraceID {
	if commandID == "" {
		return ""
	}
	id := binary.BigEndian.AppendUint64(nil, xxhash.Sum64String("trace high "+commandID))
	return TraceID(binary.BigEndian.AppendUint64(id, xxhash.Sum64String("trace low "+commandID)))
}
