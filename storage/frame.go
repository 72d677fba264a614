package storage

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"
)

// A file is a header followed by frames:
//
//	header: magic [8] | salt [8] | CRC of both [4]
//	frame:  magic [4] | CRC of salt and the rest [4] | sequence number [8] | payload length [8] | payload
//
// The random salt keeps bytes inside a payload from passing for a frame of the file.
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

// decodeFrame reads the frame at the start of data.
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

// frames is the content of a file.
type frames struct {
	salt     uint64
	payloads [][]byte
	offsets  []int64
	// end is the offset after the last whole frame.
	end int64
}

// readFrames splits a file into frames. An incomplete frame at the end is left out: it was never synced. A damaged
// frame with a valid one after it was synced, because each frame is synced before the next is written.
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

// hasFrameAfter reports whether data holds a valid frame with a sequence number above the given one.
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
