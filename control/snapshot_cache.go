package control

import (
	"sync"
	"time"

	"rosemaryline.dev/fleet/state"
	"rosemaryline.dev/rpc"
)

// snapshotCache keeps one encoded snapshot while followers fetch its parts, so that many followers share one encoding.
type snapshotCache struct {
	mu      sync.Mutex // guards the fields below; held while encoding, before the lock of the viewer
	id      uint64
	version uint64
	data    []byte
	expiry  *time.Timer
}

// get returns the snapshot with an id, or for id 0 a current one.
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
	c.keep()
	return c.id, c.data, nil
}

// refresh encodes a snapshot unless the kept one still leads to deltas that the copy has.
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

func (c *snapshotCache) keep() {
	if c.expiry != nil {
		c.expiry.Stop()
	}
	id := c.id
	c.expiry = time.AfterFunc(snapshotKeep, func() { c.drop(id) })
}

func (c *snapshotCache) drop(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id == id {
		c.data = nil
	}
}
