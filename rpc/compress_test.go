package rpc

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against compression that is not lossless.
func TestCompressionKeepsMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := "{" + rapid.String().Draw(rt, "text") + strings.Repeat(rapid.StringN(0, 8, -1).Draw(rt, "part"), rapid.IntRange(0, 200).Draw(rt, "times"))
		compressed, err := compress([]byte(text))
		assert.NilError(rt, err)
		restored, err := decompress(compressed)
		assert.NilError(rt, err)
		assert.Equal(rt, string(restored), text)
	})
}

// Guards against a small compressed message that exhausts the memory of its receiver.
func TestDecompressionIsBounded(t *testing.T) {
	compressed, err := compress([]byte(strings.Repeat("x", MaxMessageBytes+1)))
	assert.NilError(t, err)
	_, err = decompress(compressed)
	assert.ErrorIs(t, err, ErrMessageTooLarge)
}

// Guards against damaged compressed data that is read as uncompressed text.
func TestDecompressionRefusesDamage(t *testing.T) {
	_, err := decompress([]byte{compressedMarker, 0xff, 0xff, 0x12})
	assert.ErrorContains(t, err, "decompress")
}
