package main

import (
	"encoding/binary"
	"net"
)

const (
	flagSYN     = 1
	flagBounced = 2
	flagFIN     = 4
	flagRST     = 16
	flagACK     = 64
	headBytes   = 34
)

// end is one end of a flow.
type end struct {
	ip   [4]byte
	port uint16
}

func endOf(ip string, port int) end {
	return end{[4]byte(net.ParseIP(ip).To4()), uint16(port)}
}

type header struct {
	src, dst end
	seq, ack uint32
	flags    byte
	data     []byte
}

func ipLE(b []byte) [4]byte { return [4]byte{b[3], b[2], b[1], b[0]} }

func parse(raw []byte) (header, bool) {
	if len(raw) < headBytes {
		return header{}, false
	}
	le := binary.LittleEndian
	if int(le.Uint16(raw[24:])) != len(raw)-headBytes {
		return header{}, false
	}
	return header{
		dst: end{ipLE(raw[8:]), le.Uint16(raw[4:])}, src: end{ipLE(raw[12:]), le.Uint16(raw[6:])},
		seq: le.Uint32(raw[16:]), ack: le.Uint32(raw[20:]), flags: raw[26], data: raw[headBytes:],
	}, true
}

func encode(h header) []byte {
	raw := make([]byte, headBytes, headBytes+len(h.data))
	le := binary.LittleEndian
	le.PutUint16(raw[4:], h.dst.port)
	le.PutUint16(raw[6:], h.src.port)
	for i := range 4 {
		raw[8+i], raw[12+i] = h.dst.ip[3-i], h.src.ip[3-i]
	}
	le.PutUint32(raw[16:], h.seq)
	le.PutUint32(raw[20:], h.ack)
	le.PutUint16(raw[24:], uint16(len(h.data)))
	raw[26] = h.flags
	le.PutUint32(raw[30:], 0x5eed0000^h.seq^h.ack) // the key of the sum is not disclosed; any value serves
	return append(raw, h.data...)
}
