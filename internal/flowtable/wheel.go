package flowtable

import "math/bits"

// The wheel spans 65 s in steps of 8 ms. The shortest timer is the RecoveryProbeTimeout of 20 ms. A timer
// beyond the span is armed again when its slot comes up.
const (
	wheelStepBits = 3
	wheelBits     = 13
	wheelSlots    = 1 << wheelBits
	wheelMask     = wheelSlots - 1
)

// wheel is a timing wheel. Each slot holds a doubly linked list of records, linked by index.
type wheel struct {
	store       *store
	currentStep uint32 // last step whose timers have fired
	heads       [wheelSlots]uint32
	nonEmpty    [wheelSlots / 64]uint64 // one bit per slot, set if the slot has timers
	armed       int
}

func newWheel(s *store) *wheel {
	return &wheel{store: s}
}

// arm sets the timer of a record, and replaces an earlier one.
func (w *wheel) arm(i uint32, deadline millis) {
	r := w.store.at(i)
	w.disarm(i)
	r.deadline = deadline
	// Rounded up, so that a timer never fires early.
	step := uint32(deadline+(1<<wheelStepBits)-1) >> wheelStepBits
	const steps = 1 << (32 - wheelStepBits)
	ahead := (step - w.currentStep) & (steps - 1)
	switch {
	case ahead == 0 || ahead > steps/2: // already due
		ahead = 1
	case ahead >= wheelSlots:
		ahead = wheelSlots - 1
	}
	slot := (w.currentStep + ahead) & wheelMask
	r.prev = 0
	r.next = w.heads[slot]
	if r.next != 0 {
		w.store.at(r.next).prev = i
	}
	w.heads[slot] = i
	w.nonEmpty[slot/64] |= 1 << (slot % 64)
	r.wheelSlot = uint16(slot) + 1
	w.armed++
}

// disarm clears the timer of a record.
func (w *wheel) disarm(i uint32) {
	r := w.store.at(i)
	if r.wheelSlot == 0 {
		return
	}
	slot := uint32(r.wheelSlot) - 1
	if r.prev != 0 {
		w.store.at(r.prev).next = r.next
	} else {
		w.heads[slot] = r.next
		if r.next == 0 {
			w.nonEmpty[slot/64] &^= 1 << (slot % 64)
		}
	}
	if r.next != 0 {
		w.store.at(r.next).prev = r.prev
	}
	r.next, r.prev, r.wheelSlot = 0, 0, 0
	w.armed--
}

// advance fires the timers that are due at now. A timer is disarmed before it fires; fire may arm it
// again.
func (w *wheel) advance(now millis, fire func(i uint32)) {
	target := uint32(now) >> wheelStepBits
	const steps = 1 << (32 - wheelStepBits)
	elapsed := (target - w.currentStep) & (steps - 1)
	if elapsed == 0 || elapsed > steps/2 {
		return
	}
	if elapsed > wheelSlots {
		// One turn of the wheel visits every slot, so the earlier steps are skipped.
		w.currentStep = (target - wheelSlots) & (steps - 1)
		elapsed = wheelSlots
	}
	for range elapsed {
		w.currentStep = (w.currentStep + 1) & (steps - 1)
		if w.armed == 0 {
			continue
		}
		w.fireSlot(w.currentStep&wheelMask, now, fire)
	}
}

func (w *wheel) fireSlot(slot uint32, now millis, fire func(i uint32)) {
	for w.heads[slot] != 0 {
		i := w.heads[slot]
		w.disarm(i)
		if deadline := w.store.at(i).deadline; int32(deadline-now) > 0 {
			w.arm(i, deadline)
			continue
		}
		fire(i)
	}
}

// next returns the number of steps until the next slot with a timer. It reports false if no timer is
// armed.
func (w *wheel) next() (steps uint32, ok bool) {
	if w.armed == 0 {
		return 0, false
	}
	start := (w.currentStep + 1) & wheelMask
	word := w.nonEmpty[start/64] >> (start % 64)
	if word != 0 {
		return uint32(bits.TrailingZeros64(word)) + 1, true
	}
	ahead := 64 - start%64
	for ahead < wheelSlots+64 {
		if word := w.nonEmpty[(start+ahead)&wheelMask/64]; word != 0 {
			return ahead + uint32(bits.TrailingZeros64(word)) + 1, true
		}
		ahead += 64
	}
	return 0, false
}
