package main

import (
	"encoding/binary"
	"net/netip"
)

// Flags of a packet.
const (
	flagSYN     = 1
	flagBounced = 2
	flagFIN     = 4
	flagRST     = 16
	flagACK     = 64
)

const headBytes = 34

// end is one end of a flow.
type end struct {
	ip   netip.Addr
	port uint16
}

// frame is a decoded packet.
type frame struct {
	src, dst end
	flags    byte
	seq, ack uint32
	data     []byte
}

func (f *frame) has(flag byte) bool { return f.flags&flag != 0 }

func addressBytes(ip netip.Addr) uint32 {
	b := ip.As4()
	return binary.BigEndian.Uint32(b[:])
}

func addressOf(n uint32) netip.Addr {
	var b [4]byte
	binary.BigEndian.PutUint32(b[:], n)
	return netip.AddrFrom4(b)
}

// encode returns the bytes of a packet. The key of the sum is not known to anybody but clients and endpoints, which this
// program plays, so a constant stands for it.
func (f *frame) encode() []byte {
	raw := make([]byte, headBytes, headBytes+len(f.data))
	le := binary.LittleEndian
	le.PutUint16(raw[4:], f.dst.port)
	le.PutUint16(raw[6:], f.src.port)
	le.PutUint32(raw[8:], addressBytes(f.dst.ip))
	le.PutUint32(raw[12:], addressBytes(f.src.ip))
	le.PutUint32(raw[16:], f.seq)
	le.PutUint32(raw[20:], f.ack)
	le.PutUint16(raw[24:], uint16(len(f.data)))
	raw[26] = f.flags
	le.PutUint32(raw[30:], 0xa1b2c3d5)
	return append(raw, f.data...)
}

func decode(raw []byte) (f frame, ok bool) {
	le := binary.LittleEndian
	if len(raw) < headBytes || len(raw) != headBytes+int(le.Uint16(raw[24:])) {
		return f, false
	}
	return frame{
		src: end{addressOf(le.Uint32(raw[12:])), le.Uint16(raw[6:])}, dst: end{addressOf(le.Uint32(raw[8:])), le.Uint16(raw[4:])},
		flags: raw[26], seq: le.Uint32(raw[16:]), ack: le.Uint32(raw[20:]), data: raw[headBytes:],
	}, true
}

// bounced returns a packet as an endpoint returns it to its node.
func bounced(raw []byte) []byte {
	out := append([]byte(nil), raw...)
	out[26] |= flagBounced
	clear(out[27:30])
	return out
}
