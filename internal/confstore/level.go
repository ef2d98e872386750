package confstore

import (
	"slices"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
)

// Entries and snapshots of level zero are CBOR maps. From level 1 on they are arrays of the level and that map, which
// builds without levels cannot decode: such a process ends instead of skipping what it does not know.

// leveled is an entry or snapshot of level 1 or higher.
type leveled struct {
	_     struct{} `cbor:",toarray"`
	Level uint8
	Body  cbor.RawMessage
}

// cborArray is the major type of CBOR arrays, in the upper three bits of the first byte.
const cborArray = 4

// encodeLeveled encodes an entry or a snapshot.
func encodeLeveled(level uint8, v any) ([]byte, error) {
	body, err := cbor.Marshal(v)
	if err == nil && level > 0 {
		body, err = cbor.Marshal(leveled{Level: level, Body: body})
	}
	return body, errors.Wrap(err, "encode for the log")
}

// decodeLeveled decodes an entry or a snapshot, and returns its level. It fails with BuildTooOld if the level is above
// that of this build.
func decodeLeveled(data []byte, into any) (uint8, error) {
	level := uint8(0)
	if len(data) > 0 && data[0]>>5 == cborArray {
		var l leveled
		if err := cbor.Unmarshal(data, &l); err != nil {
			return 0, result.New(result.StorageCorrupt, "%v", err)
		}
		if l.Level > roster.Level {
			return 0, result.New(result.BuildTooOld, "protocol level %d, this build has %d", l.Level, roster.Level)
		}
		level, data = l.Level, l.Body
	}
	if err := cbor.Unmarshal(data, into); err != nil {
		return 0, result.New(result.StorageCorrupt, "%v", err)
	}
	return level, nil
}

// peerInfo is what a controller announces with its calls.
type peerInfo struct {
	level uint8  // protocol level
	zone  string // availability zone; empty in builds that do not announce it
}

// recordPeer records what a controller has announced with a call.
func (c *Controller) recordPeer(name string, info peerInfo) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[name] = info
}

// membersBelow returns the names of the members that have not announced a protocol level to this process, sorted.
func (c *Controller) membersBelow(level uint8) []string {
	members := c.log.Status().Members
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for _, m := range members {
		if m.Name != c.name && c.peers[m.Name].level < level {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	return names
}
