package flowtable

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/greengagelock/greengagelock/internal/testseed"
)

// Guards against timers that fire early, late, twice or not at all, also when the millisecond clock of the
// table wraps around after 49 days.
func TestWheelFiresOnTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newStore()
		w := newWheel(&s)
		now := millis(rapid.SampledFrom([]uint32{0, 1 << 31, 1<<32 - 5000}).Draw(t, "start"))
		w.currentStep = uint32(now) >> wheelStepBits
		deadlines := map[uint32]millis{}
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				var k packedKey
				k[0], k[1] = byte(i), byte(i>>8)
				index, r := s.add(k)
				r.state = stateLingering
				deadlines[index] = now + millis(rapid.OneOf(rapid.IntRange(0, 300), rapid.IntRange(0, 200_000)).Draw(t, "timeout"))
				w.arm(index, deadlines[index])
			case 2:
				for index := range deadlines {
					w.disarm(index)
					delete(deadlines, index)
					break
				}
			case 3:
				step := millis(rapid.OneOf(rapid.IntRange(0, 20), rapid.IntRange(0, 150_000)).Draw(t, "pause"))
				if ahead, ok := w.next(); ok && rapid.Bool().Draw(t, "until next") {
					step = millis((w.currentStep+ahead)<<wheelStepBits) - now
				}
				now += step
				w.advance(now, func(index uint32) {
					if late := int32(now - deadlines[index]); late < 0 {
						t.Fatalf("timer %d fired %d ms early", index, -late)
					}
					delete(deadlines, index)
				})
				for index, deadline := range deadlines {
					if late := int32(now - deadline); late >= 1<<wheelStepBits {
						t.Fatalf("timer %d has not fired %d ms after its deadline", index, late)
					}
				}
			}
			if w.armed != len(deadlines) {
				t.Fatalf("%d timers are armed, want %d", w.armed, len(deadlines))
			}
		}
	})
}
