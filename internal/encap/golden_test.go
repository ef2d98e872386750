package encap_test

import (
	"net/netip"
	"testing"

	"github.com/onsi/gomega"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
	"github.com/greengagelock/greengagelock/internal/testkit"
)

// Guards against a datagram that balancers and agents of the production build and of this one read differently while they
// run side by side.
func TestDatagramsOfTheProductionBuild(t *testing.T) {
	g := gomega.NewWithT(t)
	agent := encap.Candidate{Agent: netip.MustParseAddrPort("10.2.0.1:9000"), Target: 7}
	h := encap.Header{
		Final: true, Hops: 2, Service: 5, Generation: 9, Cursor: 1, BestIndex: 1, BestWait: 30, Waiting: 4, Waited: 3, ControlAge: 8, Extensions: 1,
		Ingress: netip.MustParseAddrPort("10.1.0.1:9000"), Count: 2,
	}
	h.Candidates[0], h.Candidates[1] = agent, encap.Candidate{Agent: netip.MustParseAddrPort("10.2.0.2:9000"), Target: 8}
	got := encap.Header{}
	content, reason := got.Decode(testkit.Golden(t, "packet", h.Append(nil, &key, []byte{1, 2, 3})), &key)
	g.Expect(reason).To(gomega.Equal(flow.DropNone))
	g.Expect(got).To(gomega.Equal(h))
	g.Expect(content).To(gomega.Equal([]byte{1, 2, 3}))

	hint := encap.Hint{Service: 5, Owner: agent, Flow: flow.Key{
		Caller: netip.MustParseAddrPort("100.64.0.7:40001"), Service: netip.MustParseAddrPort("198.18.0.1:443"),
	}}
	gotHint := encap.Hint{}
	g.Expect(gotHint.Decode(testkit.Golden(t, "hint", hint.Append(nil, &key)), &key)).To(gomega.Equal(flow.DropNone))
	g.Expect(gotHint).To(gomega.Equal(hint))

	signal := encap.Signal{Kind: encap.SignalOffer, Service: 5, From: agent}
	gotSignal := encap.Signal{}
	g.Expect(gotSignal.Decode(testkit.Golden(t, "signal", signal.Append(nil, &key)), &key)).To(gomega.Equal(flow.DropNone))
	g.Expect(gotSignal).To(gomega.Equal(signal))
}
