package control

import (
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

// snapshotCache keeps one encoded snapshot while followers fetch its parts, so that it is encoded once for many
// followers.
type snapshotCache struct {
	mu      sync.Mutex // guards the fields below; held while a snapshot is encoded; locked before the viewer's lock
	id      uint64
	version uint64
	data    []byte
	packed  []byte // data, packed
	expiry  *time.Timer
}

// get returns the snapshot with the id of the request, or a current one for id 0, packed if the request accepts that. It
// fails with rpc.CodeUnavailable if the snapshot is no longer kept, and with another error if it cannot be encoded.
func (c *snapshotCache) get(r SnapshotRequest, viewer Viewer) (uint64, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := r.ID
	if id != 0 && (id != c.id || c.data == nil) {
		return 0, nil, &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: "the snapshot is no longer kept"}
	}
	if id == 0 {
		if err := c.refresh(viewer); err != nil {
			return 0, nil, err
		}
	}
	c.extendExpiry()
	if r.AcceptPacked {
		return c.id, c.packed, nil
	}
	return c.id, c.data, nil
}

// maxSnapshotLag is the share of the size of a kept snapshot up to which the commands after it are fetched in addition: 1/8.
const maxSnapshotLag = 8

// refresh encodes a new snapshot unless the viewer's state still has all deltas that follow the kept one and they are small.
func (c *snapshotCache) refresh(viewer Viewer) error {
	var err error
	before := c.id
	viewer.View(func(s *state.State) {
		if deltas, ok := s.Since(c.version); ok && c.data != nil && deltaBytes(deltas) <= len(c.data)/maxSnapshotLag {
			return
		}
		var data []byte
		if data, err = s.SharedSnapshot(); err == nil {
			c.id++
			c.version, c.data = s.Version(), data
		}
	})
	if err == nil && c.id != before {
		c.packed, err = pack(c.data)
	}
	return err
}

func (c *snapshotCache) extendExpiry() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	id := c.id
	c.expiry = time.AfterFunc(snapshotRetention, func() { c.expire(id) })
}

func (c *snapshotCache) expire(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id == id {
		c.data, c.packed = nil, nil
	}
}
