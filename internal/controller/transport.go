package controller

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// stepTimeout is above the round-trip time between regions and below the election timeout, so that a
// connection that has stopped responding is replaced before it causes an election.
const stepTimeout = 400 * time.Millisecond

// StepRequest carries messages of the replicated log.
type StepRequest struct {
	Folder   string // ID of the sender's data folder
	Messages []consensus.Message
}

// StepReply is the reply to a StepRequest.
type StepReply struct{}

// newTransport returns the transport for messages of the replicated log, which runs over mutual TLS. folder
// is the ID of this controller's data folder.
func newTransport(folder string, credentials *rpc.Credentials, dialer rpc.DialFunc, d *replica.Directory, dropped prometheus.Counter) *replica.Transport {
	return replica.NewTransport(replica.TransportConfig{
		Directory: d,
		Dropped:   func(count int) { dropped.Add(float64(count)) },
		Dial: func(name, address string) *rpc.Client {
			return rpc.NewClient(rpc.ClientConfig{
				Address: address, Role: model.RoleController, Name: name, Credentials: credentials,
				DialTimeout: stepTimeout, CallTimeout: stepTimeout, Dial: dialer,
			})
		},
		Step: func(ctx context.Context, client *rpc.Client, messages []consensus.Message) error {
			_, err := rpc.Call[StepReply](ctx, client, peerServiceName+".Step", &StepRequest{Folder: folder, Messages: messages})
			return err
		},
	})
}

// Step handles messages of the replicated log. The peer may send messages in its own name only.
func (p *Peer) Step(request *StepRequest, reply *StepReply) error {
	if !p.c.founders.ready.Load() {
		return result.New(result.NoQuorum, "controller %s has a new data folder and does not know yet whether it may vote", p.c.cfg.Name)
	}
	if err := p.c.members.checkFolder(p.peer.Name, request.Folder); err != nil {
		return err
	}
	for i := range request.Messages {
		if request.Messages[i].From != replica.MemberID(p.peer.Name) {
			return result.New(result.PeerUnknown, "controller %s sent a message in the name of another member", p.peer.Name)
		}
	}
	ctx, cancel := p.peer.CallContext(stepTimeout)
	defer cancel()
	return p.c.log.Step(ctx, request.Messages)
}
