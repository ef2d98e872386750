// Package replica runs one member of a replicated log: it drives the decision logic of package
// consensus, keeps its durable state in package wal, and hands committed entries to a state machine.
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
	// requestQueue and messageQueue bound what waits for the goroutine that owns the log. More is
	// refused; messages are sent again by the log.
	requestQueue = 256
	messageQueue = 256
	// maxBatch bounds the input that one sync covers.
	maxBatch = 256
	// DefaultCompactEvery is the number of log entries between two snapshots. Replaying them takes
	// less than a second.
	DefaultCompactEvery = 4096
	// DefaultKeptEntries serve members that are a little behind without a snapshot.
	DefaultKeptEntries = 2048
	// reopenPause is the time between a failure of the storage and the next try.
	reopenPause = 2 * time.Second
	// readRetry is the time after which an unanswered read barrier is asked for again.
	readRetry = 300 * time.Millisecond
)

// memberID returns the number of a member. Names are never given to another data folder, which
// the catalog ensures, so numbers are not either.
func MemberID(name string) consensus.MemberID {
	return consensus.MemberID(max(xxhash.Sum64String(name), 1))
}

// Replica drives the replicated log: one goroutine owns the consensus node and the files.
type Replica struct {
	cfg       Config
	bootstrap bootstrap
	tel       telemetry.Handle
	directory *Directory
	send      func(messages []consensus.Message)
	start     time.Time
	random    *rand.Rand

	requests chan func()
	messages chan consensus.Message
	status   atomic.Pointer[publishedStatus]

	// Owned by the goroutine of Run.
	node          *consensus.Node
	files         *wal.Log
	machine       Machine
	reads         map[uint64]chan consensus.ReadState
	lastRead      uint64
	sinceSnapshot int
	lastApplied   uint64
	replayed      uint64 // index up to which entries were known to be committed at the start
}

// publishedStatus is the status as of a point in time.
type publishedStatus struct {
	consensus.Status
	at      time.Duration
	age     time.Duration
	contact bool
}

// Config configures a Replica. Zero values mean the defaults.
type Config struct {
	// Name is never given to another data folder, because a member that forgets its votes can cause
	// two leaders in a term. The number of the member is its hash.
	Name   string
	Folder string // data folder
	// Members are the names of the members that form the log when it starts for the first time; none
	// for a member that joins later.
	Members   []string
	Directory *Directory
	// Send passes messages to other members. Any of them may get lost.
	Send func(messages []consensus.Message)
	// FS holds the files of the log; nil means a folder in Folder.
	FS wal.FS
	// CompactEvery is the number of entries between two snapshots, KeptEntries the number that stays
	// for members that are behind.
	CompactEvery int
	KeptEntries  uint64
}

// New returns a member of the log. It writes the first file of the data folder.
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
		cfg: cfg, bootstrap: b, tel: t, directory: cfg.Directory, send: cfg.Send, start: time.Now(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		requests: make(chan func(), requestQueue), messages: make(chan consensus.Message, messageQueue),
		reads: map[uint64]chan consensus.ReadState{},
	}
	r.status.Store(&publishedStatus{})
	return r, nil
}

// FolderName returns the random name of the data folder.
func (r *Replica) FolderName() string { return r.bootstrap.Folder }

func (r *Replica) now() time.Duration { return time.Since(r.start) }

// Run implements Log. A failure to write ends the part of this member until the files can be
// opened again; damaged files end the process.
func (r *Replica) Run(ctx context.Context, m Machine) error {
	r.machine = m
	for {
		err := r.open()
		if err == nil {
			err = r.loop(ctx)
		}
		if r.files != nil {
			err = errors.CombineErrors(err, r.files.Close())
			r.files = nil
		}
		code := result.CodeOf(err)
		if ctx.Err() != nil {
			return nil
		}
		if code != result.StorageFull && code != result.StorageFailed {
			return err
		}
		r.tel.Logger.Error().Str("controller", r.cfg.Name).Err(err).Msg("storage of the replicated log failed, it is opened again")
		r.status.Store(&publishedStatus{})
		ctxtime.Sleep(ctx, reopenPause)
	}
}

func (r *Replica) open() error {
	files, err := wal.New(wal.Config{
		Folder: filepath.Join(r.cfg.Folder, "log"), FS: r.cfg.FS,
		Identity: wal.Identity{Cluster: clusterName, Member: MemberID(r.cfg.Name)},
	}, r.tel)
	if err != nil {
		return err
	}
	r.files = files
	restored, err := files.Restored()
	if err != nil {
		return err
	}
	r.replayed = restored.HardState.Commit
	if restored.Snapshot.Index > 0 {
		at := consensus.Position{Index: restored.Snapshot.Index, Term: restored.Snapshot.Term}
		if err := r.machine.Apply(Committed{Position: at, Snapshot: restored.Snapshot.Data, Replayed: true}); err != nil {
			return err
		}
	}
	r.node, err = consensus.New(consensus.Config{
		ID: MemberID(r.cfg.Name), Members: r.bootstrap.memberIDs(), Rand: r.random,
	}, restored)
	return err
}

// loop runs the log until ctx is done or the storage fails.
func (r *Replica) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		if err := r.work(); err != nil {
			return err
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
		r.takeMore()
	}
}

// takeMore takes in what waits already, so that one sync covers it all.
func (r *Replica) takeMore() {
	for range maxBatch {
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
		r.tel.Logger.Warn().Str("controller", r.cfg.Name).Err(err).Msg("message of another member was refused")
	}
}

// work handles everything that the node has ready.
func (r *Replica) work() error {
	for {
		ready, ok := r.node.Ready()
		if !ok {
			break
		}
		if err := r.files.Persist(ready); err != nil {
			r.send(r.node.PersistFailed())
			r.publish()
			r.failReads()
			return err
		}
		r.send(ready.Messages)
		if err := r.apply(ready); err != nil {
			return err
		}
		r.answer(ready.Reads)
		r.node.Advance(ready)
	}
	r.publish()
	if r.sinceSnapshot >= r.cfg.CompactEvery {
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
		r.sinceSnapshot, r.lastApplied = 0, s.Index
	}
	for _, e := range ready.Committed {
		c := Committed{Position: consensus.Position{Index: e.Index, Term: e.Term}, Replayed: e.Index <= r.replayed}
		if e.Kind == consensus.EntryCommand {
			c.Data = e.Data
		}
		if err := r.machine.Apply(c); err != nil {
			return err
		}
		r.lastApplied = e.Index
	}
	r.sinceSnapshot += len(ready.Committed)
	return nil
}

func (r *Replica) compact() error {
	r.sinceSnapshot = 0
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := r.node.NewSnapshot(data)
	if err != nil {
		return err
	}
	keep := r.lastApplied - min(r.lastApplied, r.cfg.KeptEntries)
	if err := r.files.SaveSnapshot(snapshot, keep); err != nil {
		if result.CodeOf(err) == result.StorageFull {
			r.tel.Logger.Warn().Str("controller", r.cfg.Name).Err(err).Msg("no space for a snapshot, the log grows")
			return nil
		}
		return err
	}
	return r.node.Compact(keep, snapshot)
}

func (r *Replica) answer(reads []consensus.ReadState) {
	for _, read := range reads {
		if waiting := r.reads[read.ID]; waiting != nil {
			delete(r.reads, read.ID)
			waiting <- read // the channel has room for its one answer
		}
	}
}

func (r *Replica) failReads() {
	for id, waiting := range r.reads {
		delete(r.reads, id)
		waiting <- consensus.ReadState{ID: id, Failed: true}
	}
}

func (r *Replica) publish() {
	now := r.now()
	age, contact := r.node.QuorumAge(now)
	r.status.Store(&publishedStatus{Status: r.node.Status(now), at: now, age: age, contact: contact})
}
