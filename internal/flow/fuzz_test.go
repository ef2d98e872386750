package flow_test

import (
	"testing"

	"github.com/greengagelock/greengagelock/internal/flow"
)

// Guards against panics, and against a summary that disagrees with Packet.Parse: it may accept a packet
// that Parse drops only if the options are malformed, and must describe the same flow.
func FuzzParse(f *testing.F) {
	f.Fuzz(func(t *testing.T, raw []byte) {
		var p flow.Packet
		var s flow.Summary
		full, short := p.Parse(raw), s.Parse(raw)
		if short != flow.DropNone {
			if full != short {
				t.Fatalf("summary drops for %q, Parse for %q", short, full)
			}
			return
		}
		if full != flow.DropNone {
			if full != flow.DropMalformed {
				t.Fatalf("summary accepts, Parse drops for %q", full)
			}
			return
		}
		destination, _ := flow.AddressKey(p.Key.Service)
		if s.Hash != p.Key.Hash() || s.Destination != destination || s.Seq != p.TCP.Seq || s.SYN != p.IsSYN() ||
			s.HasPayload != (len(p.Payload) > 0) || s.Length != len(p.Raw) || flow.KeyOf(raw) != p.Key {
			t.Fatalf("summary %+v of %v", s, p.Key)
		}
		flow.ClampMSS(&p, 536)
		if _, err := flow.Reset(&p); err != nil {
			t.Fatal(err)
		}
	})
}
