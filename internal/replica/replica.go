// Package replica runs one member of a replicated log: it drives a consensus.Node, persists its state in a
// write-ahead log (package wal), exchanges messages with the other members, and applies committed entries
// to a state machine.
package replica

import (
	"context"
	"math/rand/v2"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/telemetry"
	"github.com/greengagelock/greengagelock/internal/wal"
)

const (
	// requestQueueSize and messageQueueSize limit the input that waits for the goroutine that owns the
	// node. Excess input is rejected; the protocol resends messages.
	requestQueueSize = 256
	messageQueueSize = 256
	// maxInputsPerSync is the maximum number of requests and messages that one sync covers.
	maxInputsPerSync = 256
	// DefaultCompactEvery is the number of log entries between two snapshots. Replaying that many takes
	// less than a second.
	DefaultCompactEvery = 4096
	// DefaultKeptEntries is the number of entries that are kept before a snapshot, so that members that
	// are a little behind do not need the snapshot.
	DefaultKeptEntries = 2048
	// reopenDelay is the time between a storage failure and the attempt to reopen the storage.
	reopenDelay = 2 * time.Second
	// readRetryInterval is the time after which an unanswered read index request is repeated.
	readRetryInterval = 300 * time.Millisecond
)

// MemberID returns the ID of a member, which is a hash of its name. A name must never be reused with
// another data folder, so that IDs are not either.
func MemberID(name string) consensus.MemberID {
	return consensus.MemberID(max(xxhash.Sum64String(name), 1))
}

// Replica is one member of a replicated log. It implements Log. One goroutine owns the consensus node and
// its storage.
type Replica struct {
	cfg       Config
	bootstrap bootstrap
	tel       telemetry.Handle
	directory *Directory
	send      func(messages []consensus.Message)
	startedAt time.Time
	rng       *rand.Rand
	rejected  atomic.Uint64 // messages of other members

	requests chan func()
	messages chan consensus.Message
	status   atomic.Pointer[publishedStatus]

	// Owned by the goroutine of Run.
	reporter             *reporter
	node                 *consensus.Node
	storage              *wal.Log
	machine              StateMachine
	pendingReads         map[uint64]chan consensus.ReadState
	lastReadID           uint64
	entriesSinceSnapshot int
	lastApplied          uint64
	replayedUpTo         uint64 // commit index that was stored at the last start
}

// publishedStatus is the status of the node at takenAt.
type publishedStatus struct {
	consensus.Status
	takenAt          time.Duration
	quorumAge        time.Duration
	hasQuorumContact bool
}

// Config configures a Replica. Zero values of CompactEvery and KeptEntries select the defaults.
type Config struct {
	// Name must never be reused with another data folder: a member that has lost its votes may cause two
	// leaders in a term. MemberID derives the ID of the member from it.
	Name   string
	Folder string // data folder
	// Members are the names of the initial members of the log; empty for a member that joins later.
	Members   []string
	Directory *Directory
	// Send sends messages to other members. Messages may be lost.
	Send func(messages []consensus.Message)
	// Contact returns the result of the last messages to a member, and why it was not reached; may be nil.
	Contact func(id consensus.MemberID) (Contact, error)
	// FS stores the files of the write-ahead log; nil selects the subfolder log of Folder.
	FS wal.FS
	// CompactEvery is the number of entries between two snapshots. KeptEntries is the number of entries
	// that are kept before a snapshot for members that are behind.
	CompactEvery int
	KeptEntries  uint64
}

// New returns a member of the log. At the first start it creates bootstrapFile in the data folder.
func New(cfg Config, t telemetry.Handle) (*Replica, error) {
	b, err := loadBootstrap(cfg.Folder, cfg.Members)
	if err != nil {
		return nil, err
	}
	if cfg.CompactEvery == 0 {
		cfg.CompactEvery = DefaultCompactEvery
	}
	if cfg.KeptEntries == 0 {
		cfg.KeptEntries = DefaultKeptEntries
	}
	r := &Replica{
		cfg: cfg, bootstrap: b, tel: t, directory: cfg.Directory, send: cfg.Send, startedAt: time.Now(),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		requests: make(chan func(), requestQueueSize), messages: make(chan consensus.Message, messageQueueSize),
		pendingReads: map[uint64]chan consensus.ReadState{},
	}
	if cfg.Contact == nil {
		cfg.Contact = func(consensus.MemberID) (Contact, error) { return NotCalled, nil }
	}
	r.reporter = &reporter{name: cfg.Name, logger: t.Logger, directory: cfg.Directory, contact: cfg.Contact}
	r.status.Store(&publishedStatus{})
	return r, nil
}

// FolderID returns the random identifier of the data folder.
func (r *Replica) FolderID() string { return r.bootstrap.Folder }

// InitialMembers returns the names of the initial members of the log, as stored at the first start; none for a member
// that joined later.
func (r *Replica) InitialMembers() []string { return r.bootstrap.Members }

func (r *Replica) now() time.Duration { return time.Since(r.startedAt) }

// Run implements Log. After a write failure the member does not take part until its storage can be
// reopened. Run returns any other error, such as a corrupt file, which has to end the process.
func (r *Replica) Run(ctx context.Context, m StateMachine) error {
	r.machine = m
	for {
		err := r.open()
		if err == nil {
			err = r.loop(ctx)
		}
		if r.storage != nil {
			err = errors.CombineErrors(err, r.storage.Close())
			r.storage = nil
		}
		code := result.CodeOf(err)
		if ctx.Err() != nil {
			return nil
		}
		if code != result.StorageFull && code != result.StorageFailed {
			return err
		}
		r.tel.Logger.Error().Str("controller", r.cfg.Name).Err(err).Msg("storage of the replicated log failed, will be reopened")
		r.status.Store(&publishedStatus{})
		ctxtime.Sleep(ctx, reopenDelay)
	}
}

func (r *Replica) open() error {
	storage, err := wal.New(wal.Config{
		Folder: filepath.Join(r.cfg.Folder, "log"), FS: r.cfg.FS,
		Identity: wal.Identity{Cluster: clusterName, Member: MemberID(r.cfg.Name)},
	}, r.tel)
	if err != nil {
		return err
	}
	r.storage = storage
	restored, err := storage.Restored()
	if err != nil {
		return err
	}
	r.replayedUpTo = restored.HardState.Commit
	if restored.Snapshot.Index > 0 {
		at := consensus.Position{Index: restored.Snapshot.Index, Term: restored.Snapshot.Term}
		if err := r.machine.Apply(Committed{Position: at, Snapshot: restored.Snapshot.Data, Replayed: true}); err != nil {
			return err
		}
	}
	r.node, err = consensus.New(consensus.Config{
		ID: MemberID(r.cfg.Name), Members: r.bootstrap.memberIDs(), Rand: r.rng,
	}, restored)
	return err
}

// loop runs the node until ctx is done or an error occurs.
func (r *Replica) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	isOpened := false
	for {
		if err := r.processReady(); err != nil {
			return err
		}
		if s := r.status.Load(); isOpened {
			r.reporter.update(&s.Status, s.takenAt)
		} else {
			r.reporter.opened(&s.Status)
			isOpened = true
		}
		timer.Reset(max(r.node.Deadline()-r.now(), 0))
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
			r.node.Tick(r.now())
		case m := <-r.messages:
			r.step(m)
		case f := <-r.requests:
			f()
		}
		r.drainInputs()
	}
}

// drainInputs handles the input that is already queued, so that one sync covers all of it.
func (r *Replica) drainInputs() {
	for range maxInputsPerSync {
		select {
		case m := <-r.messages:
			r.step(m)
		case f := <-r.requests:
			f()
		default:
			r.node.Tick(r.now())
			return
		}
	}
}

func (r *Replica) step(m consensus.Message) {
	if err := r.node.Step(m, r.now()); err != nil {
		r.rejected.Add(1)
		r.reporter.rejected(&m, err)
	}
}

// Rejected returns the number of messages of other members that were invalid or for another member.
func (r *Replica) Rejected() uint64 { return r.rejected.Load() }

// processReady handles all pending work of the node and takes a snapshot when one is due.
func (r *Replica) processReady() error {
	for {
		ready, ok := r.node.Ready()
		if !ok {
			break
		}
		if err := r.storage.Persist(ready); err != nil {
			r.send(r.node.PersistFailed())
			r.publishStatus()
			r.failReads()
			return err
		}
		r.send(ready.Messages)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.answerReads(ready.Reads)
		r.node.Advance(ready)
	}
	r.publishStatus()
	if r.entriesSinceSnapshot >= r.cfg.CompactEvery {
		return r.compact()
	}
	return nil
}

func (r *Replica) apply(ready consensus.Ready) error {
	if s := ready.Snapshot; s != nil {
		at := consensus.Position{Index: s.Index, Term: s.Term}
		if err := r.machine.Apply(Committed{Position: at, Snapshot: s.Data}); err != nil {
			return err
		}
		r.entriesSinceSnapshot, r.lastApplied = 0, s.Index
	}
	for _, e := range ready.Committed {
		c := Committed{Position: consensus.Position{Index: e.Index, Term: e.Term}, Replayed: e.Index <= r.replayedUpTo}
		if e.Kind == consensus.EntryCommand {
			c.Data = e.Data
		}
		if err := r.machine.Apply(c); err != nil {
			return err
		}
		r.lastApplied = e.Index
	}
	r.entriesSinceSnapshot += len(ready.Committed)
	return nil
}

func (r *Replica) compact() error {
	r.entriesSinceSnapshot = 0
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := r.node.NewSnapshot(data)
	if err != nil {
		return err
	}
	keep := r.lastApplied - min(r.lastApplied, r.cfg.KeptEntries)
	if err := r.storage.SaveSnapshot(snapshot, keep); err != nil {
		if result.CodeOf(err) == result.StorageFull {
			r.tel.Logger.Warn().Str("controller", r.cfg.Name).Err(err).Msg("disk full: snapshot not written, the log keeps growing")
			return nil
		}
		return err
	}
	return r.node.Compact(keep, snapshot)
}

func (r *Replica) answerReads(reads []consensus.ReadState) {
	for _, read := range reads {
		if waiter := r.pendingReads[read.ID]; waiter != nil {
			delete(r.pendingReads, read.ID)
			waiter <- read // buffered, so that this does not block
		}
	}
}

func (r *Replica) failReads() {
	for id, waiter := range r.pendingReads {
		delete(r.pendingReads, id)
		waiter <- consensus.ReadState{ID: id, Failed: true}
	}
}

func (r *Replica) publishStatus() {
	now := r.now()
	quorumAge, hasQuorumContact := r.node.QuorumAge(now)
	r.status.Store(&publishedStatus{Status: r.node.Status(now), takenAt: now, quorumAge: quorumAge, hasQuorumContact: hasQuorumContact})
}
