package replica

import (
	"context"
	"sync"
	"time"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

const (
	// peerQueueSize limits the messages that wait for one member. The protocol resends dropped messages.
	peerQueueSize = 256
	// stepRetryDelay is the pause after a failed call, so that a member that is down costs little CPU time.
	stepRetryDelay = 50 * time.Millisecond
	// maxStepMessages and maxStepBytes limit the messages sent in one call.
	maxStepMessages = 64
	maxStepBytes    = 2 << 20
)

// TransportConfig configures a Transport.
type TransportConfig struct {
	Directory *Directory
	// Dial returns a client for a member. The client connects at its first call.
	Dial func(name, address string) *rpc.Client
	// Step delivers messages to a member. Its error is marked as ErrReplaced if another member has answered.
	Step func(ctx context.Context, client *rpc.Client, messages []consensus.Message) error
	// Dropped is called with the number of messages that were not delivered; may be nil.
	Dropped func(count int)
	// Contact is called when the Contact of a member changes, with the reason why it is not reached, or nil if it is; may be
	// nil.
	Contact func(name string, err error)
}

// Transport sends messages to the other members. Each member has its own queue and goroutine.
type Transport struct {
	cfg TransportConfig

	mu     sync.Mutex
	ctx    context.Context // set by Run
	wg     sync.WaitGroup
	queues map[consensus.MemberID]*peerQueue
}

// peerQueue holds the messages for one member.
type peerQueue struct {
	messages chan consensus.Message
	// wake ends the pause after a failed call.
	wake chan struct{}

	mu sync.Mutex
	// abandon ends the running call; nil unless that may be stuck in connecting to a member that was off.
	abandon context.CancelFunc
	contact Contact
	reason  error // why the member was not reached
}

// startCall prepares a call. abandonable says that retryNow may end it.
func (q *peerQueue) startCall(ctx context.Context, abandonable bool) (callContext context.Context, end func() (abandoned bool)) {
	callContext, cancel := context.WithCancel(ctx)
	if abandonable {
		q.setAbandon(cancel)
	}
	return callContext, func() bool {
		q.setAbandon(nil)
		abandoned := callContext.Err() != nil && ctx.Err() == nil
		cancel()
		return abandoned
	}
}

func (q *peerQueue) setAbandon(abandon context.CancelFunc) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.abandon = abandon
}

// retryNow ends a call that may be stuck in connecting, and the pause after a failed one.
func (q *peerQueue) retryNow() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.abandon != nil {
		q.abandon()
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// pauseAfterFailure waits for delay, or until retryNow is called or ctx is done.
func (q *peerQueue) pauseAfterFailure(ctx context.Context, delay time.Duration) {
	select {
	case <-q.wake: // of an earlier message
	default:
	}
	select {
	case <-q.wake:
	case <-ctx.Done():
	case <-time.After(delay):
	}
}

// NewTransport returns a transport that drops all messages until Run is called.
func NewTransport(cfg TransportConfig) *Transport {
	if cfg.Dropped == nil {
		cfg.Dropped = func(int) {}
	}
	if cfg.Contact == nil {
		cfg.Contact = func(string, error) {}
	}
	return &Transport{cfg: cfg, queues: map[consensus.MemberID]*peerQueue{}}
}

// Run delivers messages until ctx is done, and returns when all its goroutines have ended.
func (t *Transport) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
}

// Send queues messages. It never blocks: messages that do not fit in the queue are dropped.
func (t *Transport) Send(messages []consensus.Message) {
	for _, m := range messages {
		select {
		case t.messagesFor(m.To) <- m: // a nil queue is never ready
		default:
			t.cfg.Dropped(1)
		}
	}
}

// Reached says that a message of a member has arrived. A connection attempt that began while the member was off would
// go on until its timeout, because the first packet is sent again only after a second, so it is made anew.
func (t *Transport) Reached(from consensus.MemberID) {
	t.mu.Lock()
	queue := t.queues[from]
	t.mu.Unlock()
	if queue != nil {
		queue.retryNow()
	}
}

// messagesFor returns the queue of a member, or nil if Run is not running.
func (t *Transport) messagesFor(to consensus.MemberID) chan<- consensus.Message {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil || t.ctx.Err() != nil {
		return nil
	}
	queue := t.queues[to]
	if queue == nil {
		queue = &peerQueue{messages: make(chan consensus.Message, peerQueueSize), wake: make(chan struct{}, 1)}
		t.queues[to] = queue
		ctx := t.ctx
		t.wg.Go(func() { t.deliver(ctx, to, queue) })
	}
	return queue.messages
}

func (t *Transport) deliver(ctx context.Context, to consensus.MemberID, queue *peerQueue) {
	var client *rpc.Client
	clientAddress, abandonable := "", true
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
		case m := <-queue.messages:
			batch = collectBatch(queue.messages, m)
		}
		name, address := t.cfg.Directory.Find(to)
		if address == "" {
			t.cfg.Dropped(len(batch))
			t.recordContact(ctx, queue, name, errNoAddress)
			continue
		}
		if client == nil || address != clientAddress {
			if client != nil {
				client.Close()
			}
			client, clientAddress = t.cfg.Dial(name, address), address
		}
		callContext, endCall := queue.startCall(ctx, abandonable)
		err := t.cfg.Step(callContext, client, batch)
		abandoned := endCall()
		// The attempt after an abandoned one takes its time, so that a slow member can be reached.
		abandonable = err != nil && !abandoned
		if err != nil {
			t.cfg.Dropped(len(batch))
		}
		if abandoned {
			continue
		}
		t.recordContact(ctx, queue, name, err)
		if err != nil {
			queue.pauseAfterFailure(ctx, stepRetryDelay)
		}
	}
}

// collectBatch returns first and the messages queued after it, up to the limits of one call.
func collectBatch(queue <-chan consensus.Message, first consensus.Message) []consensus.Message {
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
