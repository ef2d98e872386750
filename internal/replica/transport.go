package replica

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

const (
	// peerQueue bounds the messages that wait for one member. The log repeats what is dropped.
	peerQueue = 256
	// stepPause is the time after a failed call, so that a member that is down costs little.
	stepPause = 50 * time.Millisecond
	// maxStepMessages and maxStepBytes bound one call.
	maxStepMessages = 64
	maxStepBytes    = 2 << 20
)

// TransportConfig configures a Transport.
type TransportConfig struct {
	Directory *Directory
	// Dial returns a client of a member, which connects at its first call.
	Dial func(name, address string) *rpc.Client
	// Step hands messages to a member.
	Step func(ctx context.Context, client *rpc.Client, messages []consensus.Message) error
	// Dropped counts messages that were not delivered; nil for nobody.
	Dropped func(count int)
	// Contact is told when a member is reached for the first time after it was not, and the other way
	// round; nil for nobody.
	Contact func(name string, err error)
}

// Transport sends messages to the other members, with a queue and a goroutine for each.
type Transport struct {
	cfg TransportConfig

	mu      sync.Mutex
	ctx     context.Context // set by Run
	wg      sync.WaitGroup
	senders map[consensus.MemberID]chan consensus.Message
}

// NewTransport returns a transport that drops everything until Run.
func NewTransport(cfg TransportConfig) *Transport {
	if cfg.Dropped == nil {
		cfg.Dropped = func(int) {}
	}
	if cfg.Contact == nil {
		cfg.Contact = func(string, error) {}
	}
	return &Transport{cfg: cfg, senders: map[consensus.MemberID]chan consensus.Message{}}
}

// Run lets messages flow until ctx is done and all senders ended.
func (t *Transport) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
}

// Send queues messages. It never waits.
func (t *Transport) Send(messages []consensus.Message) {
	for _, m := range messages {
		select {
		case t.queue(m.To) <- m: // a nil queue is never ready
		default:
			t.cfg.Dropped(1)
		}
	}
}

// queue returns the queue of a member, or nil before Run and after its end.
func (t *Transport) queue(to consensus.MemberID) chan consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return nil
	}
	queue := t.senders[to]
	if queue == nil {
		queue = make(chan consensus.Message, peerQueue)
		t.senders[to] = queue
		ctx := t.ctx
		t.wg.Go(func() { t.deliver(ctx, to, queue) })
	}
	return queue
}

func (t *Transport) deliver(ctx context.Context, to consensus.MemberID, queue chan consensus.Message) {
	var client *rpc.Client
	at, failing := "", false
	defer func() {
		if client != nil {
			client.Close()
		}
	}()
	for {
		var batch []consensus.Message
		select {
		case <-ctx.Done():
			return
		case m := <-queue:
			batch = batchFrom(queue, m)
		}
		name, address := t.cfg.Directory.Find(to)
		if address == "" {
			t.cfg.Dropped(len(batch))
			continue
		}
		if client == nil || address != at {
			if client != nil {
				client.Close()
			}
			client, at = t.cfg.Dial(name, address), address
		}
		err := t.cfg.Step(ctx, client, batch)
		if failing != (err != nil) && ctx.Err() == nil {
			failing = err != nil
			t.cfg.Contact(name, err)
		}
		if err != nil {
			t.cfg.Dropped(len(batch))
			ctxtime.Sleep(ctx, stepPause)
		}
	}
}

// batchFrom returns a message with those that wait behind it, up to the bounds of one call.
func batchFrom(queue chan consensus.Message, first consensus.Message) []consensus.Message {
	batch, size := []consensus.Message{first}, messageSize(&first)
	for len(batch) < maxStepMessages && size < maxStepBytes {
		select {
		case m := <-queue:
			batch = append(batch, m)
			size += messageSize(&m)
		default:
			return batch
		}
	}
	return batch
}

func messageSize(m *consensus.Message) int {
	size := 0
	if m.Append != nil {
		for i := range m.Append.Entries {
			size += len(m.Append.Entries[i].Data)
		}
	}
	if m.SnapshotChunk != nil {
		size += len(m.SnapshotChunk.Data)
	}
	return size
}
