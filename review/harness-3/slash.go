package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["encoded-slash"] = encodedSlash }

// encodedSlash: the operator has two routes on one host, "/rounds/" for bookings, which may run once, and "/rounds/list/" for
// reading. Jobs have names such as "list/17", which clients write as one segment: "/rounds/list%2F17". Of the two prefixes only
// "/rounds/" begins that path. For 4 s, 4 of 7 targets lose 40% of their answers.
func encodedSlash(rec *recorder, trouble bool) (bool, error) {
	var losing atomic.Bool
	var lost atomic.Int64
	f, err := newFleet(rec, 5, []string{"planning", "planning", "planning", "planning", "planning", "planning", "planning"})
	if err != nil {
		return false, err
	}
	defer f.stop()
	conf := &configuration{
		services: []string{"planning"}, coldS: 3, warmup: 28,
		routes: []routeConfig{
			{host: "book.example", prefix: "/rounds/", kind: "unsafe", service: "planning", timeoutMs: 4000, priority: 1},
			{host: "book.example", prefix: "/rounds/list/", kind: "safe", service: "planning", timeoutMs: 4000, priority: 1},
		},
		tenants: []tenantConfig{{name: "team-1", keys: []string{"key-1"}, rate: 100, burst: 100}},
	}
	for i, m := range f.class("sidecar") {
		m.target.work = func(*http.Request) time.Duration { return time.Duration(100+rand.IntN(200)) * time.Millisecond }
		if i >= 4 {
			continue
		}
		m.target.answer = func(t *target, c net.Conn, r *http.Request, _ []byte) (bool, bool) {
			if !losing.Load() || rand.IntN(100) >= 40 {
				return false, true
			}
			time.Sleep(t.work(r))
			lost.Add(1)
			rec.event("lost    answer of %s by %s", r.Header.Get("X-Request-Id"), t.currentID())
			return true, false
		}
	}
	if err := f.begin(conf.encode(1, 0)); err != nil {
		return false, err
	}
	time.Sleep(8 * time.Second)
	if trouble {
		time.AfterFunc(2*time.Second, func() { rec.event("answer_lost begins at 4 of 7 targets"); losing.Store(true) })
		time.AfterFunc(6*time.Second, func() { rec.event("answer_lost ends"); losing.Store(false) })
	}
	var wg sync.WaitGroup
	sides := f.class("sidecar")
	job := 0
	for end := time.Now().Add(9 * time.Second); time.Now().Before(end); time.Sleep(40 * time.Millisecond) {
		job++
		q := &request{method: "POST", host: "book.example", path: "/rounds/list%2F" + strconv.Itoa(job), key: "key-1", body: []byte("book"), deadline: 4 * time.Second, kind: "unsafe"}
		if job%3 == 0 {
			q.path = "/rounds/job-" + strconv.Itoa(job)
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{m: sides[rand.IntN(len(sides))]}
			c.do(q)
			c.drop()
		}()
	}
	wg.Wait()
	rec.mu.Lock()
	defer rec.mu.Unlock()
	broken := 0
	for id, s := range rec.sent {
		if s.kind == "unsafe" && len(rec.runs[id]) > 1 {
			broken++
			rec.line("TWICE   %s ran %d times, answered %d", id, len(rec.runs[id]), s.status)
		}
	}
	fmt.Printf("requests %d, answers lost %d, unsafe requests that ran more than once %d\n", len(rec.sent), lost.Load(), broken)
	if trouble && lost.Load() == 0 {
		return false, fmt.Errorf("no answer was lost")
	}
	return broken == 0, nil
}
