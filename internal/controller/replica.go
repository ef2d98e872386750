package controller

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
	// keptEntries serve members that are a little behind without a snapshot.
	keptEntries = 2048
	// reopenPause is the time between a failure of the storage and the next try.
	reopenPause = 2 * time.Second
	// readRetry is the time after which an unanswered read barrier is asked for again.
	readRetry = 300 * time.Millisecond
)

// memberID returns the number of a member. Names are never given to another data folder, which
// the catalog ensures, so numbers are not either.
func memberID(name string) consensus.MemberID {
	return consensus.MemberID(max(xxhash.Sum64String(name), 1))
}

// replica drives the replicated log: one goroutine owns the consensus node and the files.
type replica struct {
	name      string
	folder    string
	fs        wal.FS
	bootstrap bootstrap
	tel       telemetry.Handle
	directory *directory
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
}

// publishedStatus is the status as of a point in time.
type publishedStatus struct {
	consensus.Status
	at      time.Duration
	age     time.Duration
	contact bool
}

func newReplica(name, folder string, members []string, d *directory, t telemetry.Handle) (*replica, error) {
	b, err := loadBootstrap(folder, members)
	if err != nil {
		return nil, err
	}
	r := &replica{
		name: name, folder: folder, bootstrap: b, tel: t, directory: d, start: time.Now(),
		random:   rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		requests: make(chan func(), requestQueue), messages: make(chan consensus.Message, messageQueue),
		reads: map[uint64]chan consensus.ReadState{},
	}
	r.status.Store(&publishedStatus{})
	return r, nil
}

func (r *replica) now() time.Duration { return time.Since(r.start) }

// Run implements Log. A failure to write ends the part of this member until the files can be
// opened again; damaged files end the process.
func (r *replica) Run(ctx context.Context, m Machine) error {
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
		r.tel.Logger.Error().Str("controller", r.name).Err(err).Msg("storage of the replicated log failed, it is opened again")
		r.status.Store(&publishedStatus{})
		ctxtime.Sleep(ctx, reopenPause)
	}
}

func (r *replica) open() error {
	files, err := wal.New(wal.Config{
		Folder: filepath.Join(r.folder, "log"), FS: r.fs,
		Identity: wal.Identity{Cluster: clusterName, Member: memberID(r.name)},
	}, r.tel)
	if err != nil {
		return err
	}
	r.files = files
	restored, err := files.Restored()
	if err != nil {
		return err
	}
	if restored.Snapshot.Index > 0 {
		at := consensus.Position{Index: restored.Snapshot.Index, Term: restored.Snapshot.Term}
		if err := r.machine.Apply(Committed{Position: at, Snapshot: restored.Snapshot.Data}); err != nil {
			return err
		}
	}
	r.node, err = consensus.New(consensus.Config{
		ID: memberID(r.name), Members: r.bootstrap.memberIDs(), Rand: r.random,
	}, restored)
	return err
}

// loop runs the log until ctx is done or the storage fails.
func (r *replica) loop(ctx context.Context) error {
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
func (r *replica) takeMore() {
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

func (r *replica) step(m consensus.Message) {
	if err := r.node.Step(m, r.now()); err != nil {
		r.tel.Logger.Warn().Str("controller", r.name).Err(err).Msg("message of another member was refused")
	}
}

// work handles everything that the node has ready.
func (r *replica) work() error {
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
	if r.sinceSnapshot >= compactEvery {
		return r.compact()
	}
	return nil
}

func (r *replica) apply(ready consensus.Ready) error {
	if s := ready.Snapshot; s != nil {
		at := consensus.Position{Index: s.Index, Term: s.Term}
		if err := r.machine.Apply(Committed{Position: at, Snapshot: s.Data}); err != nil {
			return err
		}
		r.sinceSnapshot, r.lastApplied = 0, s.Index
	}
	for _, e := range ready.Committed {
		c := Committed{Position: consensus.Position{Index: e.Index, Term: e.Term}}
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

func (r *replica) compact() error {
	r.sinceSnapshot = 0
	data, err := r.machine.Snapshot()
	if err != nil {
		return err
	}
	snapshot, err := r.node.NewSnapshot(data)
	if err != nil {
		return err
	}
	keep := r.lastApplied - min(r.lastApplied, keptEntries)
	if err := r.files.SaveSnapshot(snapshot, keep); err != nil {
		if result.CodeOf(err) == result.StorageFull {
			r.tel.Logger.Warn().Str("controller", r.name).Err(err).Msg("no space for a snapshot, the log grows")
			return nil
		}
		return err
	}
	return r.node.Compact(keep, snapshot)
}

func (r *replica) answer(reads []consensus.ReadState) {
	for _, read := range reads {
		if waiting := r.reads[read.ID]; waiting != nil {
			delete(r.reads, read.ID)
			waiting <- read // the channel has room for its one answer
		}
	}
}

func (r *replica) failReads() {
	for id, waiting := range r.reads {
		delete(r.reads, id)
		waiting <- consensus.ReadState{ID: id, Failed: true}
	}
}

func (r *replica) publish() {
	now := r.now()
	age, contact := r.node.QuorumAge(now)
	r.status.Store(&publishedStatus{Status: r.node.Status(now), at: now, age: age, contact: contact})
}
