package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["extra-bytes"] = extraBytes }

// strayBytes are sent by a faulty target after a complete answer. They bear no request id and no signature.
const strayBytes = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nok\n"

// extraBytes: for 5 s, 4 of 7 targets send additional bytes after 3% of their complete answers. They arrive late, where the next
// answer on the connection is expected.
func extraBytes(rec *recorder, trouble bool) (bool, error) {
	var faulty atomic.Bool
	var sentBytes atomic.Int64
	var mu sync.Mutex
	owed := map[net.Conn]bool{} // connections on which the additional bytes of an earlier answer are still to come
	f, _, err := smallSite(rec, func(f *fleet) {
		for i, m := range f.class("sidecar") {
			if i >= 4 {
				continue
			}
			m.target.answer = func(t *target, c net.Conn, r *http.Request, _ []byte) (bool, bool) {
				mu.Lock()
				due := owed[c]
				delete(owed, c)
				if faulty.Load() && rand.IntN(100) < 3 {
					owed[c] = true
				}
				mu.Unlock()
				if due {
					sentBytes.Add(1)
					rec.event("stray   bytes of an earlier answer, as %s waits for its own, from %s", r.Header.Get("X-Request-Id"), t.currentID())
					fmt.Fprint(c, strayBytes)
				}
				return false, true
			}
		}
	})
	if err != nil {
		return false, err
	}
	defer f.stop()
	if trouble {
		time.AfterFunc(2*time.Second, func() { rec.event("garble begins at 4 of 7 targets"); faulty.Store(true) })
		time.AfterFunc(7*time.Second, func() { rec.event("garble ends"); faulty.Store(false) })
	}
	clients(f, 60, 12*time.Second)
	rec.mu.Lock()
	broken := 0
	for id, s := range rec.sent {
		if strings.HasPrefix(s.problem, "MIXED") {
			broken++
			rec.line("MIXED   %s got %d: %s", id, s.status, s.problem)
		}
	}
	rec.mu.Unlock()
	fmt.Printf("requests %d, stray bytes sent %d, successes without a signature or with other bytes %d\n", len(rec.sent), sentBytes.Load(), broken)
	if trouble && sentBytes.Load() == 0 {
		return false, fmt.Errorf("no stray bytes were sent")
	}
	return broken == 0, nil
}
