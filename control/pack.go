package control

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"io"
	"sync"

	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/state"
)

const (
	// minPackBytes is the size of the commands of the smallest reply that is packed. Below it, packing saves less than its
	// encoding in the message adds.
	minPackBytes = 4 << 10
	// maxUnpackedBytes limits the size of unpacked data, so that a damaged reply cannot exhaust the memory.
	maxUnpackedBytes = 64 << 20
	// maxPackedReplies is the number of packed replies that are kept.
	maxPackedReplies = 4
)

// packedKey identifies the commands from one version to another of one history.
type packedKey struct{ from, chain, to uint64 }

// packedReplies keeps the packed commands of the newest replies. After a change of many routes, a control VM sends the same
// commands to hundreds of followers at the same time; to encode and compress them for each follower takes more memory and
// processor time than a control VM has.
type packedReplies struct {
	mu      sync.Mutex // guards the fields below; held while commands are packed
	keys    []packedKey
	replies map[packedKey][]byte
}

// get returns the packed deltas. Errors are those of encoding.
func (p *packedReplies) get(deltas []state.Delta) ([]byte, error) {
	key := packedKey{from: deltas[0].From, chain: deltas[0].Chain, to: deltas[len(deltas)-1].From}
	p.mu.Lock()
	defer p.mu.Unlock()
	if packed, ok := p.replies[key]; ok {
		return packed, nil
	}
	data, err := json.Marshal(deltas)
	if err != nil {
		return nil, errors.Wrap(err, "encode deltas")
	}
	packed, err := pack(data)
	if err != nil {
		return nil, err
	}
	if p.replies == nil {
		p.replies = map[packedKey][]byte{}
	}
	if len(p.keys) == maxPackedReplies {
		delete(p.replies, p.keys[0])
		p.keys = p.keys[1:]
	}
	p.keys = append(p.keys, key)
	p.replies[key] = packed
	return packed, nil
}

// unpackDeltas is the inverse of packedReplies.get. It rejects damaged data and data above maxUnpackedBytes.
func unpackDeltas(packed []byte) ([]state.Delta, error) {
	data, err := unpack(packed)
	if err != nil {
		return nil, err
	}
	var deltas []state.Delta
	if err := json.Unmarshal(data, &deltas); err != nil {
		return nil, errors.Wrap(err, "decode deltas")
	}
	return deltas, nil
}

func pack(data []byte) ([]byte, error) {
	var packed bytes.Buffer
	w, err := flate.NewWriter(&packed, flate.DefaultCompression)
	if err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if _, err := w.Write(data); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "pack")
	}
	return packed.Bytes(), nil
}

func unpack(packed []byte) ([]byte, error) {
	source := bytes.NewReader(packed)
	reader := flate.NewReader(source)
	defer reader.Close()
	data, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "unpack")
	case len(data) > maxUnpackedBytes:
		return nil, errors.Errorf("unpack: more than %d bytes", maxUnpackedBytes)
	case source.Len() > 0:
		return nil, errors.Errorf("unpack: %d bytes after the end", source.Len())
	}
	return data, nil
}
