package confstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"github.com/greengagelock/greengagelock/internal/consensus"
	"github.com/greengagelock/greengagelock/internal/replica"
	"github.com/greengagelock/greengagelock/internal/result"
	"github.com/greengagelock/greengagelock/internal/roster"
	"github.com/greengagelock/greengagelock/internal/rpc"
)

// transport sends the messages of the log, and single RPC calls, to other controllers.
type transport struct {
	*replica.Transport
	directory *replica.Directory

	mu      sync.Mutex
	clients map[string]*rpc.Client // for single calls, by address
}

func newTransport(name, zone string, d *replica.Directory, logger *log.Logger) *transport {
	return &transport{directory: d, clients: map[string]*rpc.Client{}, Transport: replica.NewTransport(replica.TransportConfig{
		Directory: d,
		Dial:      func(_, address string) *rpc.Client { return newClient(address, stepTimeout) },
		Step: func(ctx context.Context, client *rpc.Client, messages []consensus.Message) error {
			reply, err := rpc.Call[StepReply](ctx, client, peerService+".Step", &StepRequest{Name: name, Messages: messages, Level: roster.Level, Zone: zone})
			if err != nil {
				return err
			}
			if to := messages[0].To; reply.Name != "" && replica.MemberID(reply.Name) != to {
				err := result.New(result.PeerUnknown, "controller %s runs on the VM of member %s, whose disk was lost", reply.Name, d.Name(to))
				return errors.Mark(err, replica.ErrReplaced)
			}
			return nil
		},
		Contact: func(member string, err error) {
			logger.Info().Str("member", member).Bool("reached", err == nil).Err(err).Msg("reachability of a member changed")
		},
	})}
}

// run sends messages of the log until ctx is done, and then closes the clients.
func (t *transport) run(ctx context.Context) {
	t.Run(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, client := range t.clients {
		client.Close()
	}
}

// newClient returns a client that connects without TLS. timeout bounds connecting and each call.
func newClient(address string, timeout time.Duration) *rpc.Client {
	return rpc.NewClient(rpc.ClientConfig{Address: address, Plain: true, DialTimeout: timeout, CallTimeout: timeout})
}

// client returns the client for single calls to a member, or nil if the member's address is unknown.
func (t *transport) client(name string) *rpc.Client {
	_, address := t.directory.Find(replica.MemberID(name))
	if address == "" {
		return nil
	}
	return t.clientAt(address)
}

// clientAt returns the client for single calls to an address and creates it if needed.
func (t *transport) clientAt(address string) *rpc.Client {
	t.mu.Lock()
	defer t.mu.Unlock()
	client := t.clients[address]
	if client == nil {
		client = newClient(address, replaceTimeout)
		t.clients[address] = client
	}
	return client
}
