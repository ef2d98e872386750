package loopback_test

import (
	"testing"

	"github.com/greengagelock/greengagelock/internal/loopback"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against two deployments on one machine that get the same address, also after one of them has
// released its sockets and before it binds them again.
func TestBlocksHaveOneUser(t *testing.T) {
	seen := map[string]bool{}
	for range 3 {
		b, err := loopback.Reserve()
		testkit.Check(t, err)
		t.Cleanup(func() { testkit.Check(t, b.Close()) })
		for range 2 {
			tcp, err := b.NextTCP()
			testkit.Check(t, err)
			udp, err := b.NextUDP(2)
			testkit.Check(t, err)
			for _, at := range append(udp, tcp) {
				if seen[at.String()] {
					t.Fatalf("%s was handed out twice", at)
				}
				seen[at.String()] = true
			}
		}
	}
}
