package checkpoint

import (
	"bytes"
	"slices"
	"sort"

	"github.com/greengagelock/greengagelock/internal/packet"
)

// flowAt returns flow number i of packed flows.
func flowAt(packed []byte, i int) []byte { return packed[i*flowBytes : (i+1)*flowBytes] }

// findFlow returns the place of a key in packed flows that are in the order of their keys, and whether it is there.
func findFlow(packed, key []byte) (at int, found bool) {
	return sort.Find(len(packed)/flowBytes, func(i int) int {
		return bytes.Compare(key[:packet.KeyBytes], flowAt(packed, i)[:packet.KeyBytes])
	})
}

// difference returns the flows of after that are not in before with the same acknowledgement number, and the keys of
// the flows of before that are not in after. All flows are packed and in the order of their keys.
func difference(before, after []byte) (changed, closed []byte) {
	for len(before) > 0 || len(after) > 0 {
		order := 0
		switch {
		case len(before) == 0:
			order = 1
		case len(after) == 0:
			order = -1
		default:
			order = bytes.Compare(before[:packet.KeyBytes], after[:packet.KeyBytes])
		}
		if order >= 0 {
			if order > 0 || !bytes.Equal(before[:flowBytes], after[:flowBytes]) {
				changed = append(changed, after[:flowBytes]...)
			}
			after = after[flowBytes:]
		}
		if order <= 0 {
			if order < 0 {
				closed = append(closed, before[:packet.KeyBytes]...)
			}
			before = before[flowBytes:]
		}
	}
	return changed, closed
}

// applyDifference applies a difference to packed flows, and returns the result in the same memory if it fits.
func applyDifference(packed, changed, closed []byte) []byte {
	for ; len(changed) > 0; changed = changed[flowBytes:] {
		at, found := findFlow(packed, changed)
		if found {
			copy(flowAt(packed, at), changed[:flowBytes])
		} else {
			packed = slices.Insert(packed, at*flowBytes, changed[:flowBytes]...)
		}
	}
	for ; len(closed) > 0; closed = closed[packet.KeyBytes:] {
		if at, found := findFlow(packed, closed); found {
			packed = slices.Delete(packed, at*flowBytes, (at+1)*flowBytes)
		}
	}
	return packed
}
