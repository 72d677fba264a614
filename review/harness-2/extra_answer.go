package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// extraShare is the share of the answers behind which a faulty target sends additional bytes: the smallest dose of garble
// in the site file.
const extraShare = 0.02

// extraBytes look like an answer. They echo no request and bear no signature.
const extraBytes = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate"

// extraAnswer lets a target send additional bytes after some of its complete answers. They arrive late, where the next answer
// on the connection is expected.
func extraAnswer(r *run) error {
	f, err := newFleet(r, "planning", "planning", "planning")
	if err != nil {
		return err
	}
	var extras atomic.Int32
	for i, m := range f.sidecars {
		t, err := startTarget(r, m, fmt.Sprintf("i-7f3a91c%d", i), 5, 60*time.Millisecond)
		if err != nil {
			return err
		}
		if r.trouble && i == 0 {
			t.beforeAnswer = func(n int) []byte {
				if n == 0 || rand.Float64() >= extraShare {
					return nil
				}
				extras.Add(1)
				return []byte(extraBytes)
			}
		}
	}
	document := configuration(1, 0, []string{"planning"}, 0, 0,
		route{Name: "book-clean", PathPrefix: "/book/", Kind: "unsafe", TimeoutMs: 6000, AimMs: 1500, Service: "planning", MaxAttempts: 2})
	if err := f.configure(document); err != nil {
		return err
	}
	time.Sleep(4 * time.Second)
	var clients sync.WaitGroup
	var mu sync.Mutex
	var results []result
	for c := range 6 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for n := range 300 {
				id := fmt.Sprintf("9c41d07b%02x%06x", c, n)
				res := send(f.sidecars[c%3], http.MethodPost, "/book/1", id, 10*time.Second, "booking "+id)
				r.log("client: %v", res)
				mu.Lock()
				results = append(results, res)
				mu.Unlock()
			}
		}()
	}
	clients.Wait()
	mixed := 0
	for _, res := range results {
		if res.status/100 == 2 && (res.signature != signature(res.id) || res.body != answerBody(res.id)) {
			mixed++
			r.say("client: a success that no target gave: %v", res)
		}
	}
	r.say("MIXED: %d of %d requests got a success without the target's signature and body; additional bytes were sent %d times", mixed, len(results), extras.Load())
	if mixed > 0 {
		return errBroken
	}
	return nil
}
