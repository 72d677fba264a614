package rpc

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a message that changes on its way through the compression.
func TestCompressionKeepsMessages(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		text := "{" + rapid.String().Draw(rt, "text") + strings.Repeat(rapid.StringN(0, 8, -1).Draw(rt, "part"), rapid.IntRange(0, 200).Draw(rt, "times"))
		packed, err := compress([]byte(text))
		assert.NilError(rt, err)
		back, err := decompress(packed)
		assert.NilError(rt, err)
		assert.Equal(rt, string(back), text)
	})
}

// Guards against a small message that fills the memory of its receiver.
func TestDecompressionIsBounded(t *testing.T) {
	packed, err := compress([]byte(strings.Repeat("x", MaxMessageBytes+1)))
	assert.NilError(t, err)
	_, err = decompress(packed)
	assert.ErrorIs(t, err, ErrMessageTooLarge)
}

// Guards against damaged messages that are taken for text.
func TestDecompressionRefusesDamage(t *testing.T) {
	_, err := decompress([]byte{compressedMark, 0xff, 0xff, 0x12})
	assert.ErrorContains(t, err, "decompress")
}
