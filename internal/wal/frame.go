package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// Layout of a frame, which holds what one Persist writes. Each frame is synced before the next one
// is written, so only the last frame of the log can be incomplete after a crash. Integers are
// little-endian.
//
//	offset  size  content
//	0       4     magic
//	4       4     length of the payload
//	8       8     sequence number, one more than that of the frame before
//	16      4     CRC32C of bytes 4 to 16 and the payload
//	20      4     zero
//	24      n     payload, followed by zeros up to a multiple of 8
const (
	frameMagic      = 0x4647474c
	frameHeaderSize = 24
	frameAlignment  = 8
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// frame is a decoded frame.
type frame struct {
	sequence uint64
	payload  []byte
	size     int // bytes in the file, with header and padding
}

// frameSize returns the size in the file of a frame with a payload of the given length, in bytes.
func frameSize(payload int) int {
	return frameHeaderSize + (payload+frameAlignment-1)/frameAlignment*frameAlignment
}

// frameChecksum returns the checksum of a frame. The magic and the checksum field are not covered.
func frameChecksum(header, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(header[4:16], castagnoli), castagnoli, payload)
}

// newFrame returns a buffer that starts with an empty header. The caller appends the payload, for which
// capacity bytes are allocated.
func newFrame(capacity int) []byte {
	return make([]byte, frameHeaderSize, frameSize(capacity))
}

// sealFrame fills in the header of a frame and appends the padding.
func sealFrame(buffer []byte, sequence uint64) []byte {
	payload := len(buffer) - frameHeaderSize
	le := binary.LittleEndian
	le.PutUint32(buffer[0:], frameMagic)
	le.PutUint32(buffer[4:], uint32(payload))
	le.PutUint64(buffer[8:], sequence)
	le.PutUint32(buffer[16:], frameChecksum(buffer, buffer[frameHeaderSize:]))
	return append(buffer, make([]byte, frameSize(payload)-len(buffer))...)
}

// parseFrame returns the frame at the start of data, or false if data does not start with an intact one.
func parseFrame(data []byte) (frame, bool) {
	le := binary.LittleEndian
	if len(data) < frameHeaderSize || le.Uint32(data) != frameMagic {
		return frame{}, false
	}
	length := int(le.Uint32(data[4:]))
	size := frameSize(length)
	if size > len(data) {
		return frame{}, false
	}
	payload := data[frameHeaderSize : frameHeaderSize+length]
	if frameChecksum(data, payload) != le.Uint32(data[16:]) {
		return frame{}, false
	}
	return frame{sequence: le.Uint64(data[8:]), payload: payload, size: size}, true
}

// containsLaterFrame reports whether data holds an intact frame with a sequence number above sequence.
func containsLaterFrame(data []byte, sequence uint64) bool {
	magic := binary.LittleEndian.AppendUint32(nil, frameMagic)
	for offset := 0; offset+frameHeaderSize <= len(data); offset += frameAlignment {
		if !bytes.Equal(data[offset:offset+len(magic)], magic) {
			continue
		}
		if f, ok := parseFrame(data[offset:]); ok && f.sequence > sequence {
			return true
		}
	}
	return false
}
