// Package roster holds the soft state of the fleet: which targets exist, which of them accept new flows and
// how loaded they are. Relays announce their target to every controller, and every controller answers entry
// VMs with its list of targets. Nothing is stored; everything is announced again within AnnounceInterval.
package roster

import (
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/greengagelock/greengagelock/internal/hop"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/routing"
)

const (
	// AnnounceInterval is the time between two announcements of a process to a controller. At the design
	// size, 4,560 processes send each controller 11,400 datagrams of about 100 bytes a second.
	AnnounceInterval = 400 * time.Millisecond
	// Lease is the time for which an announcement is valid. Four in a row may get lost.
	Lease = 2 * time.Second
	// targetsPerAnswer and loadsPerAnswer keep an answer below the MTU of an Ethernet link.
	targetsPerAnswer = 16
	loadsPerAnswer   = 2000
	// maxAnswers bounds the answers to one announcement. They take 80 ms on a link of 2 Mbit/s; the receiver asks for
	// the rest when it has the last of them.
	maxAnswers = 16
)

// State is the state of a target; it decides whether the target gets new flows.
type State uint8

// States of a target.
const (
	// Ready targets accept new flows.
	Ready State = iota + 1
	// Draining targets keep their flows and accept no new ones.
	Draining
	// Silent targets have stopped answering their relay.
	Silent
	// Down targets have no listening process.
	Down
	// Unknown targets have not sent a heartbeat yet to their relay, which has just started.
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

// Target is a target as its relay announces it.
type Target struct {
	_       struct{} `cbor:",toarray"`
	Relay   hop.IP   // address of the relay beside the target
	Service routing.ServiceID
	Zone    string // availability zone
	ID      string // ID of the incarnation
	Born    int64  // start of the target, Unix time in ms
	State   State
	Slots   uint16
	// Cold says that the target is still slow after its start.
	Cold bool
}

// Role is the role of a process in an announcement.
type Role uint8

// Roles of a process.
const (
	RoleEntry Role = iota + 1
	RoleRelay
)

// Announcement is what every process sends to each controller.
type Announcement struct {
	_       struct{} `cbor:",toarray"`
	Role    Role
	Name    string
	Version uint64 // version of the configuration in force
	// Position is the place of an entry VM in the changes of this controller's list; nil for relays.
	Position *Position
	// Digest is the digest of the newest list that an entry VM has from any controller. A controller that has the same
	// list sends no targets.
	Digest uint64
	// Answers is the number of datagrams with changes that an entry VM accepts, and Push asks for changes as they occur.
	Answers uint8
	Push    bool
	// Target is set by relays. It is left out, as are Name and Process, once the controller has confirmed TargetDigest,
	// which depends on Target and Process.
	Target       *Target
	TargetDigest uint64
	// MembersDigest is the digest of the addresses of the controllers that the process knows, see MembersDigest.
	MembersDigest uint32
	Load          hop.Load
	// Gone marks the last announcement of a relay whose target has ended; nobody needs to look up flows
	// there.
	Gone bool
	// Loads requests the loads of all targets.
	Loads bool
	// Process is a random number that identifies the incarnation of the sending process.
	Process uint64
}

// Position is a place in the sequence of changes of a controller's list of targets.
type Position struct {
	_   struct{} `cbor:",toarray"`
	Run uint64   // random number of the controller process; zero for no list
	Seq uint64   // number of the last change that the list includes
	// Base is the number of the newest change when the transfer of the whole list began. Removals up to it need not be
	// sent.
	Base uint64
	// Complete says that the transfer has ended. Until then the list may lack targets that changed after Base.
	Complete bool
}

// Answer is what a controller sends for each announcement, and at once after the commit of a configuration.
type Answer struct {
	_       struct{} `cbor:",toarray"`
	Version uint64   // newest version that the controller knows to be committed
	// Current says that the controller is in contact with a majority.
	Current bool
	// Controllers are the addresses of all controllers in ascending order; empty if the process knows them.
	Controllers []hop.IP
	// TargetDigest is that of the last whole announcement of the receiving relay; zero if there was none.
	TargetDigest uint64
	// Run is the random number of the controller process, zero if the answer says nothing about the list of targets.
	// Targets, States and Removed are the changes after From up to To; Head is the number of the newest change, and Digest
	// the digest of the list there. States are those of targets of which nothing else has changed, see appendState.
	Run            uint64
	From, To, Head uint64
	Digest         uint64
	Targets        []Target
	States         []byte
	Removed        []hop.IP
	// Restart says that changes after the receiver's position are no longer known: its copy of the list is void.
	Restart bool
	// Last marks the last answer to an announcement.
	Last bool
	// Loads are the loads of the targets at Head in the order of their relays, beginning with number LoadsFrom, in the
	// levels of loadLevels, two to a byte.
	Loads     []byte
	LoadsFrom uint16
	// Fresh is set by a controller that has run for less than a lease and has not heard relays that existed
	// before. Its list may lack running relays, so a missing relay must not count as lost.
	Fresh bool
	// Call asks the receiver to announce itself: the controller has started and remembers it from before.
	Call bool
	// Previous is the ID of the target that an earlier process of the receiving relay announced last; empty
	// if the controller does not know one. Only older builds read it.
	Previous string
}

// MembersDigest returns the digest of the addresses of controllers in ascending order.
func MembersDigest(controllers []hop.IP) uint32 {
	var b []byte
	for _, ip := range controllers {
		b = append(b, ip[:]...)
	}
	return uint32(xxhash.Sum64(b))
}

// stateBytes is the size of a target's state in Answer.States: the address of its relay, and State with coldFlag.
const (
	stateBytes = 5
	coldFlag   = 0x80
)

func appendState(b []byte, t *Target) []byte {
	state := byte(t.State)
	if t.Cold {
		state |= coldFlag
	}
	return append(append(b, t.Relay[:]...), state)
}

// IsControlMessage reports whether a datagram is a message of this package rather than of package hop.
func IsControlMessage(b []byte) bool {
	return len(b) > 0 && (b[0] == hop.KindAnnouncement || b[0] == hop.KindAnswer)
}

func encode(kind byte, message any) ([]byte, error) {
	body, err := cbor.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode control message")
	}
	return append([]byte{kind}, body...), nil
}

func decode(kind byte, b []byte, into any) error {
	if len(b) == 0 || b[0] != kind {
		return result.New(result.PacketInvalid, "datagram is not a control message of kind %d", kind)
	}
	if err := cbor.Unmarshal(b[1:], into); err != nil {
		return result.New(result.PacketInvalid, "decode control message of %d bytes: %v", len(b), err)
	}
	return nil
}

// Encode returns the announcement as a datagram.
func (a *Announcement) Encode() ([]byte, error) { return encode(hop.KindAnnouncement, a) }

// DecodeAnnouncement decodes the datagram of an announcement. It fails unless the sender is an entry VM, or a
// relay with its target.
func DecodeAnnouncement(b []byte) (*Announcement, error) {
	a := &Announcement{}
	if err := decode(hop.KindAnnouncement, b, a); err != nil {
		return nil, err
	}
	switch {
	case a.Role != RoleEntry && a.Role != RoleRelay:
		return nil, result.New(result.PacketInvalid, "announcement of %q with unknown role %d", a.Name, a.Role)
	case (a.Role == RoleRelay) != (a.Target != nil || a.TargetDigest != 0):
		return nil, result.New(result.PacketInvalid, "announcement of %q with role %d: only relays have a target", a.Name, a.Role)
	}
	return a, nil
}

// Encode returns the answer as a datagram.
func (a *Answer) Encode() ([]byte, error) { return encode(hop.KindAnswer, a) }

// DecodeAnswer decodes the datagram of an answer. It fails if the numbers of its changes are not in order.
func DecodeAnswer(b []byte) (*Answer, error) {
	a := &Answer{}
	if err := decode(hop.KindAnswer, b, a); err != nil {
		return nil, err
	}
	if a.From > a.To || a.To > a.Head || len(a.States)%stateBytes != 0 {
		return nil, result.New(result.PacketInvalid, "changes %d to %d of %d of the list of targets, %d bytes of states", a.From, a.To, a.Head, len(a.States))
	}
	return a, nil
}
