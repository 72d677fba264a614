package rpc

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a change of the framing, the compression or its dictionary without a new value of Protocol: processes of two
// builds could not read each other's messages. testdata/wire/COMMIT.txt has lines as the build of that commit wrote them and is
// never changed: a short and a compressed message on a connection, and the latter as a datagram. They are the same since e5723b9.
func TestWireForms(t *testing.T) {
	text, err := os.ReadFile("testdata/wire/e5723b9.txt")
	assert.NilError(t, err)
	var lines [][]byte
	for _, line := range strings.Fields(string(text)) {
		data, err := hex.DecodeString(line)
		assert.NilError(t, err)
		lines = append(lines, data)
	}
	assert.Equal(t, len(lines), 3)
	reader := bufio.NewReader(bytes.NewReader(bytes.Join(lines[:2], nil)))
	var short, long json.RawMessage
	assert.NilError(t, boundedCodec{}.ReadObject(reader, &short))
	assert.Equal(t, string(short), `{"jsonrpc":"2.0","id":1,"result":{}}`)
	assert.NilError(t, boundedCodec{}.ReadObject(reader, &long))
	assert.Equal(t, string(long), wireMessage)
	var datagram json.RawMessage
	assert.NilError(t, decodeDatagram(lines[2], &datagram))
	assert.Equal(t, string(datagram), wireMessage)
	assert.Assert(t, len(lines[2]) < len(wireMessage)/2, "compressed")
}

const wireMessage = `{"jsonrpc":"2.0","method":"fleet.fetch","params":{"process":"vm1","incarnation":7,"version":47,"chain":9,"waitMillis":20000,` +
	`"beatNumber":3},"domains":{"set":{"region":"nl"}},"digest":[{"name":"vm2","incarnation":17,"metaVersion":17}]}`
