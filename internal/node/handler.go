// Package node is the client side of the session that balancers and agents hold with a controller.
package node

import "github.com/greengagelock/greengagelock/internal/model"

// Handler is the node that a session serves.
type Handler interface {
	// Announcement returns the current announcement. The session fills in Applied, Revision and
	// Digest.
	Announcement() model.Announcement
	// ApplyView puts a view in force. The view is not modified after the call.
	ApplyView(v *model.View)
}
