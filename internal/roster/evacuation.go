package roster

import (
	"math/rand/v2"
	"slices"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/result"
)

// Protocol levels. A process that has not announced a level gets no message of a later one, and a controller that has
// not, no entry of a later one.
const (
	// LevelEvacuation adds evacuations of availability zones.
	LevelEvacuation uint8 = 1
	// Level is the level of this build.
	Level = LevelEvacuation
)

// instanceMark starts the instance IDs that carry a level. IDs of builds without levels are 64 random bits, of which one
// in 2^24 starts in the same way; such a process drops the messages that it does not know.
const instanceMark uint64 = 0x47474c

// NewInstanceID returns a random number that identifies a process. It carries the protocol level of this build: the
// fields for it, Announcement.Process and Answer.Run, are the only ones that earlier builds pass over without reading.
func NewInstanceID() uint64 {
	return instanceMark<<40 | uint64(Level)<<32 | uint64(rand.Uint32())
}

// LevelOf returns the protocol level of the process with an instance ID, zero for builds without levels.
func LevelOf(instanceID uint64) uint8 {
	if instanceID>>40 != instanceMark {
		return 0
	}
	return uint8(instanceID >> 32)
}

// Evacuations are the availability zones that get no new flows. A controller sends them to each process that has not
// confirmed the newest revision. Unknown fields are ignored.
type Evacuations struct {
	// Revision is the index of the log entry that has changed them last. Of two messages the one with the higher revision
	// is in force, whichever controller has sent it.
	Revision uint64 `cbor:"1,keyasint"`
	// Zones are the evacuated zones in ascending order.
	Zones []string `cbor:"2,keyasint"`
}

// EvacuationsHeld confirms to a controller that a process has evacuations in force.
type EvacuationsHeld struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Process is the instance ID of the process.
	Process uint64 `cbor:"2,keyasint"`
}

// Includes reports whether a zone is evacuated.
func (e *Evacuations) Includes(zone string) bool {
	_, found := slices.BinarySearch(e.Zones, zone)
	return found
}

// listed returns a target as a list shows it. A target in an evacuated zone is silent there: every build offers such a
// target nothing, keeps its flows, and accepts that it becomes ready again, which it does not of a draining one.
func (e *Evacuations) listed(t Target) Target {
	if e.Includes(t.Zone) && (t.State == Ready || t.State == Unknown) {
		t.State = Silent
	}
	return t
}

// IsEvacuations reports whether a datagram is an Evacuations message.
func IsEvacuations(b []byte) bool { return len(b) > 0 && b[0] == hop.KindEvacuations }

// IsEvacuationsHeld reports whether a datagram is an EvacuationsHeld message.
func IsEvacuationsHeld(b []byte) bool { return len(b) > 0 && b[0] == hop.KindEvacuationsHeld }

// Encode returns the message as a datagram.
func (e *Evacuations) Encode() ([]byte, error) { return encode(hop.KindEvacuations, e) }

// Encode returns the message as a datagram.
func (h *EvacuationsHeld) Encode() ([]byte, error) { return encode(hop.KindEvacuationsHeld, h) }

// DecodeEvacuations decodes the datagram of an Evacuations message. It fails if the zones are not in ascending order.
func DecodeEvacuations(b []byte) (*Evacuations, error) {
	e := &Evacuations{}
	if err := decode(hop.KindEvacuations, b, e); err != nil {
		return nil, err
	}
	if !slices.IsSorted(e.Zones) {
		return nil, result.New(result.PacketInvalid, "the evacuated zones %q are not in order", e.Zones)
	}
	return e, nil
}

// DecodeEvacuationsHeld decodes the datagram of an EvacuationsHeld message.
func DecodeEvacuationsHeld(b []byte) (*EvacuationsHeld, error) {
	h := &EvacuationsHeld{}
	return h, decode(hop.KindEvacuationsHeld, b, h)
}
