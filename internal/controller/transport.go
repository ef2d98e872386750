package controller

import (
	"context"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/ctxtime"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

const (
	// peerQueue bounds the messages that wait for one member. The log repeats what is dropped.
	peerQueue = 256
	// stepTimeout is above the round trip between regions and below the election timeout, so that
	// a silent connection is replaced before it costs an election.
	stepTimeout = 400 * time.Millisecond
	// stepPause is the time after a failed call, so that a member that is down costs little.
	stepPause = 50 * time.Millisecond
	// maxStepMessages and maxStepBytes bound one call.
	maxStepMessages = 64
	maxStepBytes    = 2 << 20
)

// StepRequest carries messages of the replicated log.
type StepRequest struct {
	Folder   string // data folder of the sender
	Messages []consensus.Message
}

// StepReply is the empty answer to a StepRequest.
type StepReply struct {
	// Folder is the data folder of the receiver.
	Folder string
}

// transport sends messages to the other members, with a queue and a goroutine for each.
type transport struct {
	folder      string
	credentials *rpc.Credentials
	dialer      rpc.Dial
	directory   *replica.Directory
	dropped     prometheus.Counter

	mu      sync.Mutex
	ctx     context.Context // set by run
	wg      sync.WaitGroup
	senders map[consensus.MemberID]chan consensus.Message
}

func newTransport(folder string, credentials *rpc.Credentials, dialer rpc.Dial, d *replica.Directory, dropped prometheus.Counter) *transport {
	return &transport{
		folder: folder, credentials: credentials, dialer: dialer, directory: d, dropped: dropped,
		senders: map[consensus.MemberID]chan consensus.Message{},
	}
}

// run lets messages flow until ctx is done and all senders ended.
func (t *transport) run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
	t.wg.Wait()
}

// send queues messages. It never waits.
func (t *transport) send(messages []consensus.Message) {
	for _, m := range messages {
		queue := t.queue(m.To)
		if queue == nil {
			t.dropped.Inc()
			continue
		}
		select {
		case queue <- m:
		default:
			t.dropped.Inc()
		}
	}
}

func (t *transport) queue(to consensus.MemberID) chan consensus.Message {
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

func (t *transport) deliver(ctx context.Context, to consensus.MemberID, queue chan consensus.Message) {
	var client *rpc.Client
	at := ""
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
		name, address := t.directory.Find(to)
		if address == "" {
			t.dropped.Add(float64(len(batch)))
			continue
		}
		if client == nil || address != at {
			if client != nil {
				client.Close()
			}
			client, at = t.dial(name, address), address
		}
		request := &StepRequest{Folder: t.folder, Messages: batch}
		if _, err := rpc.Call[StepReply](ctx, client, peerServiceName+".Step", request); err != nil {
			t.dropped.Add(float64(len(batch)))
			ctxtime.Sleep(ctx, stepPause)
		}
	}
}

func (t *transport) dial(name, address string) *rpc.Client {
	return rpc.NewClient(rpc.ClientConfig{
		Address: address, Role: model.RoleController, Name: name, Credentials: t.credentials,
		DialTimeout: stepTimeout, CallTimeout: stepTimeout, Dial: t.dialer,
	})
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

// Step takes in messages of the replicated log.
func (p *Peer) Step(request *StepRequest, reply *StepReply) error {
	if err := p.c.members.admit(p.peer.Name, request.Folder); err != nil {
		return err
	}
	for i := range request.Messages {
		if request.Messages[i].From != replica.MemberID(p.peer.Name) {
			return result.New(result.PeerUnknown, "controller %s sent a message of another member", p.peer.Name)
		}
	}
	ctx, cancel := p.peer.Deadline(stepTimeout)
	defer cancel()
	return p.c.log.Step(ctx, request.Messages)
}
