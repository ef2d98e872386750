package replica

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/greengagelock/greengagelock/internal/consensus"
)

// ErrReplaced marks errors of messages that another member has answered, which runs on the VM of the recipient. The disk of
// the recipient was lost, and it never answers again.
var ErrReplaced = errors.New("another member runs on the VM of the member")

var errNoAddress = errors.New("the address of the member is not known")

// Contact is the result of the last messages to a member.
type Contact uint8

// Results of messages to a member.
const (
	NotCalled   Contact = iota // none was sent since the start
	Reached                    // delivered
	Unreachable                // not delivered
	Replaced                   // answered by another member
	NoAddress                  // the address of the member is not known
)

func contactOf(err error) Contact {
	switch {
	case err == nil:
		return Reached
	case errors.Is(err, ErrReplaced):
		return Replaced
	case errors.Is(err, errNoAddress):
		return NoAddress
	default:
		return Unreachable
	}
}

// Contact returns the result of the last messages to a member, and why it was not reached.
func (t *Transport) Contact(id consensus.MemberID) (Contact, error) {
	t.mu.Lock()
	queue := t.queues[id]
	t.mu.Unlock()
	if queue == nil {
		return NotCalled, nil
	}
	queue.mu.Lock()
	defer queue.mu.Unlock()
	return queue.contact, queue.reason
}

// recordContact records the result of messages and reports a change. A member that is reached at first is no change.
func (t *Transport) recordContact(ctx context.Context, queue *peerQueue, name string, err error) {
	if ctx.Err() != nil {
		return // the call has ended with the process
	}
	contact := contactOf(err)
	queue.mu.Lock()
	isChanged := contact != queue.contact && (queue.contact != NotCalled || contact != Reached)
	queue.contact, queue.reason = contact, err
	queue.mu.Unlock()
	if isChanged {
		t.cfg.Contact(name, err)
	}
}
