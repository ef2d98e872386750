package node_test

import (
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/model"
	"github.com/greengagelock/greengagelock/internal/node"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against calls of balancers and agents to controllers that one of the production build and this one cannot decode.
func TestSessionsOfTheProductionBuild(t *testing.T) {
	g := NewWithT(t)
	poll := &node.PollRequest{Wait: time.Second, Snapshot: true, Announcement: model.Announcement{
		Node: "exec-1", Incarnation: 3, Role: model.RoleAgent, VM: "vm-1", Zone: "bog-a", Applied: 7, Revision: 8, Digest: 9,
		Targets: []model.TargetAnnouncement{{
			Service: "x", Agent: netip.MustParseAddrPort("10.2.0.1:9000"), Slots: 2, MaxConns: 9, Draining: true,
			Evidence: model.Evidence{OpenFlows: 4, BusySlots: 1, HandshakeFailures: 2, HandshakesOK: 5, EndpointHealthy: true, Refused: 6},
		}},
	}}
	g.Expect(testkit.GoldenGob(t, "poll-request", poll)).To(Equal(poll))
	reply := &node.PollReply{Age: 40 * time.Millisecond, Delta: &model.Delta{
		From: 7, To: 8, Revision: 9, RemovedServices: []model.ServiceID{5}, RemovedTargets: []model.TargetID{6}, Digest: 10,
	}}
	g.Expect(testkit.GoldenGob(t, "poll-reply", reply)).To(Equal(reply))
}
