package consensus

// ForgetTransitions makes the node take the member lists alone, as builds before transitions do.
func (n *Node) ForgetTransitions() {
	for i := range n.memberships {
		n.memberships[i].transition = nil
	}
}
