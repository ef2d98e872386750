// Package node is the client side of the session between a node, which is a balancer or an agent, and a
// controller. A session sends the announcement of the node with every poll and receives the view of the node,
// as a full view or as a delta to the last one. It switches to another controller when a poll fails.
package node

import "github.com/greengagelock/greengagelock/internal/model"

// Handler is implemented by balancers and agents.
type Handler interface {
	// Announcement returns the current announcement. The session sets the fields Node, Role, Incarnation,
	// Applied, Revision and Digest.
	Announcement() model.Announcement
	// ApplyView puts a view in force: when it returns, the node uses the view. The view is not modified
	// after the call.
	ApplyView(v *model.View)
}
