// Package roster is the soft state of the fleet: which targets there are, which of them take new
// flows and how loaded they are. Relays announce their target to every controller, and every
// controller answers entry VMs with the list that it has. Nothing of it is stored; all of it is
// announced again within an interval.
package roster

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// AnnounceInterval is the time between two announcements of a process to a controller. At the
	// target size, 4,560 processes cost each controller 11,400 datagrams of about 100 bytes a second.
	AnnounceInterval = 400 * time.Millisecond
	// Lease is the time for which an announcement holds. Four may get lost in a row.
	Lease = 2 * time.Second
	// targetsPerPart keeps a part of the list below the MTU of an Ethernet link.
	targetsPerPart = 16
	// maxParts bounds the memory that a damaged answer can claim: 4,100 targets are 257 parts.
	maxParts = 512
)

// State says what a target does with new flows.
type State uint8

// States of a target.
const (
	// Ready targets take flows.
	Ready State = iota + 1
	// Draining targets keep the flows that they have.
	Draining
	// Silent targets have stopped answering their relay.
	Silent
	// Down targets have no process that listens.
	Down
	// Unknown targets have not yet been heard of by their relay, which has just started.
	Unknown
)

var stateNames = [...]string{"none", "ready", "draining", "silent", "down", "unknown"}

// String returns the name of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// Target is what a relay says of the target beside it.
type Target struct {
	_       struct{} `cbor:",toarray"`
	Relay   hop.IP
	Service routing.ServiceID
	Zone    string // availability zone
	ID      string // incarnation
	Born    int64  // Unix time in ms of the start of the target
	State   State
	Slots   uint16
	// Cold is set while the target is slow after its start.
	Cold bool
}

// Role is the role of a process in an announcement.
type Role uint8

// Roles of a process.
const (
	RoleEntry Role = iota + 1
	RoleRelay
)

// Announcement is sent by every process to every controller it knows.
type Announcement struct {
	_       struct{} `cbor:",toarray"`
	Role    Role
	Name    string
	Version uint64 // of the configuration in force
	// Digest is that of the last list received from this controller.
	Digest uint64
	Target *Target // of a relay
	Load   hop.Load
	// Gone is the last announcement of a relay whose target has ended: there is nobody to ask for flows.
	Gone bool
	// Loads asks for the loads of all targets.
	Loads bool
	// Process is a random number of the sending process, which tells its lives apart.
	Process uint64
}

// Answer is sent by a controller for every announcement, and at once when a configuration was
// committed.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Version uint64   // of the newest configuration that the controller knows to be committed
	// Current is set while the controller is in contact with a majority.
	Current     bool
	Controllers []hop.IP
	// Digest identifies the list. Targets is part Part of Parts of it, in the order of the list; it is
	// empty if the announcement had the same digest. Loads holds the requests in progress at each target, in
	// sixteenths, if they were asked for.
	Digest  uint64
	Part    uint16
	Parts   uint16
	Targets []Target
	Loads   []uint16
	// Base is the digest of the list that Targets and Removed change, zero for a whole list.
	Base    uint64
	Removed []hop.IP
	// Fresh is set by a controller that has run for less than a lease and misses relays that were there
	// before. Its list may lack relays that run, so that nothing follows from a missing one.
	Fresh bool
	// Previous is, in the answer to a relay, the ID of the target that an earlier process of the relay
	// announced last; empty if the controller does not know.
	Previous string
}

// Kinds of datagrams; those of package hop are below.
const (
	kindAnnouncement byte = 64
	kindAnswer       byte = 65
)

// IsControl reports whether a datagram belongs to this package and not to package hop.
func IsControl(b []byte) bool {
	return len(b) > 0 && (b[0] == kindAnnouncement || b[0] == kindAnswer)
}

func encode(kind byte, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode a control message")
	}
	return append([]byte{kind}, body...), nil
}

func decode(kind byte, b []byte, into any) error {
	if len(b) == 0 || b[0] != kind {
		return result.New(result.PacketInvalid, "the datagram is no control message of kind %d", kind)
	}
	if err := cbor.Unmarshal(b[1:], into); err != nil {
		return result.New(result.PacketInvalid, "control message of %d bytes: %v", len(b), err)
	}
	return nil
}

// Encode returns the datagram of an announcement.
func (a *Announcement) Encode() ([]byte, error) { return encode(kindAnnouncement, a) }

// DecodeAnnouncement reads the datagram of an announcement.
func DecodeAnnouncement(b []byte) (*Announcement, error) {
	a := &Announcement{}
	return a, decode(kindAnnouncement, b, a)
}

// Encode returns the datagram of an answer.
func (a *Answer) Encode() ([]byte, error) { return encode(kindAnswer, a) }

// DecodeAnswer reads the datagram of an answer.
func DecodeAnswer(b []byte) (*Answer, error) {
	a := &Answer{}
	if err := decode(kindAnswer, b, a); err != nil {
		return nil, err
	}
	if a.Parts > maxParts || (a.Parts > 0 && a.Part >= a.Parts) {
		return nil, result.New(result.PacketInvalid, "part %d of %d of a list of targets", a.Part, a.Parts)
	}
	return a, nil
}
