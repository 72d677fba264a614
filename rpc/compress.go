package rpc

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minCompressBytes is the length of the shortest message that is compressed. Compressing a shorter one saves less than
	// the size of a packet header.
	minCompressBytes = 128
	// compressedMarker is the first byte of a compressed message. JSON text never starts with it.
	compressedMarker = 0
	// compressionLevel is the lowest level of compress/flate that uses the dictionary.
	compressionLevel = 2
)

// dictionary is the preset DEFLATE dictionary: texts that most messages contain, the most frequent ones last. Both sides
// need the same dictionary, so a change of it needs a new value of Protocol.
var dictionary = []byte(`"setDomain":{"domain":"out":true,"force":true,"anyBase":true},"replace":{"label":"baseLabel":"change":{` +
	`"services":{"set":{"routes":{"set":{"teams":{"set":{"rate":"burst":"keyHashes":["domains":{"set":{"region":"` +
	`"slots":"connections":"floorPercent":"ramp":{"initialSlots":"successesPerSlot":"queue":{"length":"teamPercent":"maxWait":"` +
	`"host":"path":"below":true,"service":"access":"public","access":"open","idempotent":true,"priority":"maxAttempts":"objective":"deadline":"` +
	`"assignShards":{"owners":{"rosterInForce":{"version":"leave":{"name":"join":{"name":"address":"domain":"` +
	`{"jsonrpc":"2.0","method":"fleet.fetch","params":{"process":"incarnation":"version":"chain":"waitMillis":"beatNumber":` +
	`"result":{"version":"needSnapshot":"deltas":[{"from":"chain":"command":{"changeId":"operator":"time":"2026-` +
	`"method":"control.confirm","params":{"confirmations":[{"process":"` +
	`"method":"quota.requests","params":{"requests":[{"process":"incarnation":"team":"id":"need":"spare":"held":"returned":"replies":[` +
	`{"jsonrpc":"2.0","method":"raft.message","params":{"group":"control","from":"message":{"kind":7,"from":"to":"term":"logTerm":"index":"commit":"entries":[{"kind":0,"data":"context":` +
	`"packet":{"kind":4,"updates":[{"name":"core-sidecar-","domain":"status":0,"meta":"eyJyb3dzIjpbeyJzZXJ2aWNlIjoi","metaVersion":"hasMeta":true}],"notices":[` +
	`{"jsonrpc":"2.0","method":"gossip.packet","params":{"from":":70","packet":{"kind":3,"from":"subject":"beat":{"number":"version":"age":"established":true,` +
	`"digest":[{"name":"incarnation":17,"metaVersion":17},{"name":"`)

var compressors = sync.Pool{New: func() any {
	// NewWriterDict fails only for an invalid level.
	w, _ := flate.NewWriterDict(nil, compressionLevel, dictionary)
	return w
}}

// decompressors holds flate readers. A new one needs 40 KB, more than almost all messages.
var decompressors = sync.Pool{New: func() any { return flate.NewReaderDict(bytes.NewReader(nil), dictionary) }}

// compress returns text compressed, after compressedMarker. It returns text unchanged if that is shorter than
// minCompressBytes or if compression does not make it shorter.
func compress(text []byte) ([]byte, error) {
	if len(text) < minCompressBytes {
		return text, nil
	}
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	compressed := bytes.NewBuffer(make([]byte, 0, len(text)/2))
	compressed.WriteByte(compressedMarker)
	w.Reset(compressed)
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress message")
	}
	if compressed.Len() >= len(text) {
		return text, nil
	}
	return compressed.Bytes(), nil
}

// decompress is the inverse of compress. It returns ErrMessageTooLarge for a text above MaxMessageBytes.
func decompress(data []byte) ([]byte, error) {
	if len(data) == 0 || data[0] != compressedMarker {
		return data, nil
	}
	source := bytes.NewReader(data[1:])
	reader := decompressors.Get().(io.Reader)
	defer decompressors.Put(reader)
	// Reset of a flate reader returns no error.
	_ = reader.(flate.Resetter).Reset(source, dictionary)
	text, err := io.ReadAll(io.LimitReader(reader, MaxMessageBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress message")
	}
	if source.Len() > 0 {
		return nil, errors.Errorf("decompress message: %d bytes after its end", source.Len())
	}
	if len(text) > MaxMessageBytes {
		return nil, errors.Wrapf(ErrMessageTooLarge, "decompressed to more than %d bytes", MaxMessageBytes)
	}
	return text, nil
}
