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
	expiry  *time.Timer
}

// get returns the snapshot with the given id, or a current one for id 0. It fails with rpc.CodeUnavailable if the
// snapshot is no longer kept.
func (c *snapshotCache) get(id uint64, viewer Viewer) (uint64, []byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id != 0 && (id != c.id || c.data == nil) {
		return 0, nil, &rpc.RemoteError{Code: rpc.CodeUnavailable, Message: "the snapshot is no longer kept"}
	}
	if id == 0 {
		if err := c.refresh(viewer); err != nil {
			return 0, nil, err
		}
	}
	c.extendExpiry()
	return c.id, c.data, nil
}

// refresh encodes a new snapshot unless the viewer's state still has all deltas that follow the kept one.
func (c *snapshotCache) refresh(viewer Viewer) error {
	var err error
	viewer.View(func(s *state.State) {
		if _, ok := s.Since(c.version); ok && c.data != nil {
			return
		}
		var data []byte
		if data, err = s.SharedSnapshot(); err == nil {
			c.id++
			c.version, c.data = s.Version(), data
		}
	})
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
		c.data = nil
	}
}
