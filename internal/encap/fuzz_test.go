package encap_test

import (
	"bytes"
	"encoding/binary"
	"testing"

	"github.com/dchest/siphash"

	"github.com/greengagelock/greengagelock/internal/encap"
	"github.com/greengagelock/greengagelock/internal/flow"
)

// withValidTag returns a copy of a datagram with a valid tag, so that fuzzed input passes the check of the
// tag and reaches the code after it.
func withValidTag(datagram []byte) []byte {
	d := bytes.Clone(datagram)
	if len(d) < encap.HeaderBytes {
		return d
	}
	taggedBytes := len(d)
	if d[1] == 1 {
		taggedBytes = min(taggedBytes, encap.HeaderBytes+int(d[16])*encap.CandidateBytes+40)
	}
	clear(d[32:40])
	k0, k1 := binary.LittleEndian.Uint64(key[:8]), binary.LittleEndian.Uint64(key[8:])
	binary.BigEndian.PutUint64(d[32:], siphash.Hash(k0, k1, d[:taggedBytes]))
	return d
}

// Guards against a panic on any input, against an accepted header with invalid indexes, and against a
// datagram that changes by decoding and encoding.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, datagram []byte) {
		var h encap.Header
		_, _ = h.Decode(datagram, &key)
		d := withValidTag(datagram)
		if packet, drop := h.Decode(d, &key); drop == flow.DropNone {
			_ = h.Current()
			var again encap.Header
			got, drop := again.Decode(h.Append(nil, &key, packet), &key)
			if drop != flow.DropNone || again != h || !bytes.Equal(got, packet) {
				t.Fatalf("%+v became %+v, %q", h, again, drop)
			}
		}
		var signal, sent encap.Signal
		if drop := signal.Decode(d, &key); drop == flow.DropNone {
			if drop := sent.Decode(signal.Append(nil, &key), &key); drop != flow.DropNone || sent != signal {
				t.Fatalf("%+v became %+v, %q", signal, sent, drop)
			}
		}
		var hint, again encap.Hint
		if drop := hint.Decode(d, &key); drop == flow.DropNone {
			if drop := again.Decode(hint.Append(nil, &key), &key); drop != flow.DropNone || again != hint {
				t.Fatalf("%+v became %+v, %q", hint, again, drop)
			}
		}
	})
}
