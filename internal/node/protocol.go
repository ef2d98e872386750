package node

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// ServiceName is the name of the RPC service of controllers that nodes call.
const ServiceName = "Node"

// MaxPollWait is the longest time that a controller holds a poll.
const MaxPollWait = time.Second

// PollRequest is the request of Poll.
type PollRequest struct {
	Announcement model.Announcement
	// Wait is how long the controller may hold the poll if there is no update.
	Wait time.Duration
	// Snapshot requests the full view, after a delta that did not lead to the expected view.
	Snapshot bool
}

// PollReply contains the full view or a delta if the node is not up to date.
type PollReply struct {
	View  *model.View
	Delta *model.Delta
	// Age is the time since the controller last had contact with a quorum.
	Age time.Duration
}

// AnnounceReply is the reply of Announce.
type AnnounceReply struct {
	// Age is the time since the controller last had contact with a quorum.
	Age time.Duration
}
