package node

import (
	"time"

	"github.com/greengagelock/greengagelock/internal/model"
)

// ServiceName is the name of the RPC service that nodes call.
const ServiceName = "Node"

// MaxWait is the longest time that a controller holds a poll.
const MaxWait = time.Second

// PollRequest is one poll of a session.
type PollRequest struct {
	Announcement model.Announcement
	// Wait is how long the controller may hold the poll if there is nothing new.
	Wait time.Duration
	// Snapshot asks for the whole view, after a delta that could not be applied.
	Snapshot bool
}

// PollReply holds a view or a delta if the node is not up to date.
type PollReply struct {
	View  *model.View
	Delta *model.Delta
	// Age is how long ago the controller was known to be current.
	Age time.Duration
}

// AnnounceReply is the empty answer to an announcement.
type AnnounceReply struct {
	// Age is how long ago the controller was known to be current.
	Age time.Duration
}
