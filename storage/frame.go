package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A log or snapshot file is a header followed by frames. Lengths in bytes are in brackets:
//
//	header: magic [8] | salt [8] | CRC of both [4]
//	frame:  magic [4] | CRC of salt and the rest [4] | sequence number [8] | payload length [8] | payload
//
// The salt is random for each file, so that bytes inside a payload cannot be mistaken for a valid frame of the file.
const (
	headerMagic      = "ROSELOG1"
	headerBytes      = 20
	frameMagic       = "RFRM"
	frameHeaderBytes = 24
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendHeader(buf []byte, salt uint64) []byte {
	start := len(buf)
	buf = append(buf, headerMagic...)
	buf = binary.BigEndian.AppendUint64(buf, salt)
	return binary.BigEndian.AppendUint32(buf, crc32.Checksum(buf[start:], castagnoli))
}

func appendFrame(buf []byte, salt, sequence uint64, payload []byte) []byte {
	start := len(buf)
	buf = append(buf, frameMagic...)
	buf = append(buf, 0, 0, 0, 0)
	buf = binary.BigEndian.AppendUint64(buf, sequence)
	buf = binary.BigEndian.AppendUint64(buf, uint64(len(payload)))
	buf = append(buf, payload...)
	binary.BigEndian.PutUint32(buf[start+4:], frameChecksum(salt, buf[start+8:]))
	return buf
}

func frameChecksum(salt uint64, rest []byte) uint32 {
	var seed [8]byte
	binary.BigEndian.PutUint64(seed[:], salt)
	return crc32.Update(crc32.Checksum(seed[:], castagnoli), castagnoli, rest)
}

// decodeFrame decodes the frame at the start of data. ok is false if it is incomplete or damaged.
func decodeFrame(data []byte, salt uint64) (sequence uint64, payload []byte, ok bool) {
	if len(data) < frameHeaderBytes || string(data[:4]) != frameMagic {
		return 0, nil, false
	}
	sequence = binary.BigEndian.Uint64(data[8:])
	length := binary.BigEndian.Uint64(data[16:])
	if length > uint64(len(data)-frameHeaderBytes) {
		return 0, nil, false
	}
	end := frameHeaderBytes + int(length)
	if binary.BigEndian.Uint32(data[4:]) != frameChecksum(salt, data[8:end]) {
		return 0, nil, false
	}
	return sequence, data[frameHeaderBytes:end], true
}

// frames is the decoded content of a file.
type frames struct {
	salt     uint64
	payloads [][]byte
	offsets  []int64
	// end is the offset after the last complete frame, in bytes.
	end int64
}

// readFrames decodes the frames of a file. It ignores an incomplete or damaged frame at the end, which may never have
// been synced. If a valid frame follows a damaged one, it returns a *CorruptError: each frame is synced before the next
// one is written, so the damaged frame had been synced.
func readFrames(file string, data []byte) (frames, error) {
	var f frames
	if len(data) < headerBytes || !bytes.Equal(appendHeader(nil, binary.BigEndian.Uint64(data[8:])), data[:headerBytes]) {
		return f, &CorruptError{File: file, Problem: "bad file header"}
	}
	f.salt = binary.BigEndian.Uint64(data[8:])
	f.end = headerBytes
	for f.end < int64(len(data)) {
		sequence, payload, ok := decodeFrame(data[f.end:], f.salt)
		if !ok || sequence != uint64(len(f.payloads)) {
			if hasFrameAfter(data[f.end+1:], f.salt, uint64(len(f.payloads))) {
				return f, &CorruptError{File: file, Offset: f.end, Problem: "damaged frame before the last one"}
			}
			return f, nil
		}
		f.payloads = append(f.payloads, payload)
		f.offsets = append(f.offsets, f.end)
		f.end += int64(frameHeaderBytes + len(payload))
	}
	return f, nil
}

// hasFrameAfter reports whether data contains a valid frame with a sequence number above sequence.
func hasFrameAfter(data []byte, salt, sequence uint64) bool {
	for {
		at := bytes.Index(data, []byte(frameMagic))
		if at < 0 {
			return false
		}
		data = data[at:]
		if found, _, ok := decodeFrame(data, salt); ok && found > sequence {
			return true
		}
		data = data[1:]
	}
}
