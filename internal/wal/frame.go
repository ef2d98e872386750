package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A frame holds what one Persist writes. A frame is synced before the next one is written, so
// only the last frame of the log can be incomplete after a crash.
//
//	offset  size  content
//	0       4     magic
//	4       4     length of the payload
//	8       8     sequence number, one more than that of the frame before
//	16      4     CRC32C of bytes 4 to 16 and the payload
//	20      4     zero
//	24      n     payload, followed by zeros up to a multiple of 8
const (
	frameMagic  = 0x4647474c
	frameHeader = 24
	frameAlign  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

type frame struct {
	sequence uint64
	payload  []byte
	size     int // in the file
}

func frameSize(payload int) int {
	return frameHeader + (payload+frameAlign-1)/frameAlign*frameAlign
}

func frameChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[4:16], castagnoli), castagnoli, payload)
}

// newFrame returns a buffer with room for the header, to which the payload is appended.
func newFrame(capacity int) []byte {
	return make([]byte, frameHeader, frameSize(capacity))
}

// sealFrame fills in the header and the padding.
func sealFrame(buffer []byte, sequence uint64) []byte {
	payload := len(buffer) - frameHeader
	le := binary.LittleEndian
	le.PutUint32(buffer[0:], frameMagic)
	le.PutUint32(buffer[4:], uint32(payload))
	le.PutUint64(buffer[8:], sequence)
	le.PutUint32(buffer[16:], frameChecksum(buffer, buffer[frameHeader:]))
	return append(buffer, make([]byte, frameSize(payload)-len(buffer))...)
}

// parseFrame returns the frame at the start of data, or false if there is no intact one.
func parseFrame(data []byte) (frame, bool) {
	le := binary.LittleEndian
	if len(data) < frameHeader || le.Uint32(data) != frameMagic {
		return frame{}, false
	}
	length := int(le.Uint32(data[4:]))
	size := frameSize(length)
	if size > len(data) {
		return frame{}, false
	}
	payload := data[frameHeader : frameHeader+length]
	if frameChecksum(data, payload) != le.Uint32(data[16:]) {
		return frame{}, false
	}
	return frame{sequence: le.Uint64(data[8:]), payload: payload, size: size}, true
}

// laterFrame reports whether data holds an intact frame with a sequence number above sequence.
func laterFrame(data []byte, sequence uint64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for offset := 0; offset+frameHeader <= len(data); offset += frameAlign {
		if !bytes.Equal(data[offset:offset+len(magic)], magic) {
			continue
		}
		if f, ok := parseFrame(data[offset:]); ok && f.sequence > sequence {
			return true
		}
	}
	return false
}
