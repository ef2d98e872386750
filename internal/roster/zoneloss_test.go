package roster

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a list that stands still when an availability zone is lost with both controllers that send changes as
// they occur: two of the others take over, whichever two are lost.
func TestListGoesOnWithoutTheControllersOfAZone(t *testing.T) {
	for lost := range 5 {
		g := NewWithT(t)
		f := newFleet(5)
		f.set(0, testTarget("a", Ready))
		f.askAll()
		f.askAll()
		pushing := func() (n []int) {
			for i, c := range f.controllers {
				if f.view.WantsPush(f.now, c.ip) {
					n = append(n, i)
				}
			}
			return n
		}
		g.Expect(pushing()).To(HaveLen(pushingControllers))
		if lost == 0 {
			for _, i := range pushing() {
				f.down[i] = true
			}
		} else {
			f.down[lost], f.down[lost-1] = true, true
		}
		f.now += pusherTimeout + 1
		for i := range f.controllers {
			if !f.down[i] {
				f.ask(i)
			}
		}
		g.Expect(pushing()).To(HaveLen(pushingControllers))
		for _, i := range pushing() {
			g.Expect(f.down[i]).To(BeFalse())
			f.ask(i) // asks them to push
		}
		f.set(0, testTarget("a", Draining))
		f.push()
		g.Expect(f.view.Get(relayIP(0)).State).To(Equal(Draining))
	}
}
