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

// stepTimeout is above the round trip between regions and below the election timeout, so that
// a silent connection is replaced before it costs an election.
const stepTimeout = 400 * time.Millisecond

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

// newTransport returns the transport of the replicated log over mutual TLS.
func newTransport(folder string, credentials *rpc.Credentials, dialer rpc.Dial, d *replica.Directory, dropped prometheus.Counter) *replica.Transport {
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
