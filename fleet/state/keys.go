package state

import (
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

// keyIndex finds the team of a key in constant time for any number of keys. Entries are bucketed by the first 8 bytes
// of the SHA-256 sum; within a bucket, sums are compared in constant time.
type keyIndex struct {
	// first holds the only entry of almost every bucket without a slice of its own.
	first map[uint64]keyEntry
	more  map[uint64][]keyEntry
}

type keyEntry struct {
	sum  [32]byte
	team string
	// issued is false for keys that are listed in the configuration document.
	issued bool
}

func newKeyIndex() *keyIndex {
	return &keyIndex{first: map[uint64]keyEntry{}, more: map[uint64][]keyEntry{}}
}

func bucketOf(sum [32]byte) uint64 { return binary.LittleEndian.Uint64(sum[:8]) }

func (x *keyIndex) lookup(sum [32]byte) (string, bool) {
	e, ok := x.find(sum)
	return e.team, ok
}

func (x *keyIndex) find(sum [32]byte) (keyEntry, bool) {
	bucket := bucketOf(sum)
	e, ok := x.first[bucket]
	if !ok {
		return keyEntry{}, false
	}
	if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
		return e, true
	}
	for _, e := range x.more[bucket] {
		if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
			return e, true
		}
	}
	return keyEntry{}, false
}

func (x *keyIndex) findHex(hash string) (keyEntry, bool) {
	sum, ok := decodeSum(hash)
	if !ok {
		return keyEntry{}, false
	}
	return x.find(sum)
}

func (x *keyIndex) add(hash, team string, issued bool) {
	sum, ok := decodeSum(hash)
	if !ok {
		return
	}
	bucket := bucketOf(sum)
	e := keyEntry{sum: sum, team: team, issued: issued}
	if _, taken := x.first[bucket]; taken {
		x.more[bucket] = append(x.more[bucket], e)
		return
	}
	x.first[bucket] = e
}

func (x *keyIndex) remove(hash string) {
	sum, ok := decodeSum(hash)
	if !ok {
		return
	}
	bucket := bucketOf(sum)
	var rest []keyEntry
	for _, e := range append([]keyEntry{x.first[bucket]}, x.more[bucket]...) {
		if e.sum != sum {
			rest = append(rest, e)
		}
	}
	delete(x.first, bucket)
	delete(x.more, bucket)
	if len(rest) > 0 {
		x.first[bucket] = rest[0]
	}
	if len(rest) > 1 {
		x.more[bucket] = rest[1:]
	}
}

// decodeSum reads 64 lower-case hex digits.
func decodeSum(hash string) (sum [32]byte, ok bool) {
	if len(hash) != hex.EncodedLen(len(sum)) {
		return sum, false
	}
	if _, err := hex.Decode(sum[:], []byte(hash)); err != nil {
		return sum, false
	}
	return sum, hex.EncodeToString(sum[:]) == hash
}
