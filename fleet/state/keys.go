package state

import (
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

// keyIndex finds the team of a key by hash lookup, so that the time does not depend on the number of keys. Entries are
// bucketed by the first 8 bytes of the SHA-256 sum. Within a bucket, sums are compared in constant time.
type keyIndex struct {
	// entries holds the first entry of each bucket. Almost every bucket has only one entry, which then needs no slice.
	entries    map[uint64]keyEntry
	collisions map[uint64][]keyEntry // the other entries of a bucket
}

type keyEntry struct {
	sum  [32]byte
	team string
	// issued is false for keys that are listed in the configuration document.
	issued bool
}

func newKeyIndex() *keyIndex {
	return &keyIndex{entries: map[uint64]keyEntry{}, collisions: map[uint64][]keyEntry{}}
}

func bucketOf(sum [32]byte) uint64 { return binary.LittleEndian.Uint64(sum[:8]) }

func (x *keyIndex) lookup(sum [32]byte) (string, bool) {
	e, ok := x.find(sum)
	return e.team, ok
}

func (x *keyIndex) find(sum [32]byte) (keyEntry, bool) {
	bucket := bucketOf(sum)
	e, ok := x.entries[bucket]
	if !ok {
		return keyEntry{}, false
	}
	if subtle.ConstantTimeCompare(e.sum[:], sum[:]) == 1 {
		return e, true
	}
	for _, e := range x.collisions[bucket] {
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
	if _, taken := x.entries[bucket]; taken {
		x.collisions[bucket] = append(x.collisions[bucket], e)
		return
	}
	x.entries[bucket] = e
}

func (x *keyIndex) remove(hash string) {
	sum, ok := decodeSum(hash)
	if !ok {
		return
	}
	bucket := bucketOf(sum)
	var rest []keyEntry
	for _, e := range append([]keyEntry{x.entries[bucket]}, x.collisions[bucket]...) {
		if e.sum != sum {
			rest = append(rest, e)
		}
	}
	delete(x.entries, bucket)
	delete(x.collisions, bucket)
	if len(rest) > 0 {
		x.entries[bucket] = rest[0]
	}
	if len(rest) > 1 {
		x.collisions[bucket] = rest[1:]
	}
}

// decodeSum decodes a SHA-256 sum of 64 lower-case hex digits.
func decodeSum(hash string) (sum [32]byte, ok bool) {
	if len(hash) != hex.EncodedLen(len(sum)) {
		return sum, false
	}
	if _, err := hex.Decode(sum[:], []byte(hash)); err != nil {
		return sum, false
	}
	return sum, hex.EncodeToString(sum[:]) == hash
}
