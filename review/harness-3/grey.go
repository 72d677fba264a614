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

func init() { cases["grey-503"] = grey503 }

// smallSite starts 5 core machines and one sidecar machine for each of 7 targets of one service, and waits until the traffic of
// a small deployment would start.
func smallSite(rec *recorder, prepare func(f *fleet)) (*fleet, *configuration, error) {
	services := []string{"planning", "planning", "planning", "planning", "planning", "planning", "planning"}
	f, err := newFleet(rec, 5, services)
	if err != nil {
		return nil, nil, err
	}
	conf := &configuration{
		services: []string{"planning"}, coldS: 3, warmup: 28,
		routes:  []routeConfig{{host: "book.example", prefix: "/book/", kind: "unsafe", service: "planning", timeoutMs: 4000, priority: 1}},
		tenants: []tenantConfig{{name: "team-1", keys: []string{"key-1"}, rate: 100, burst: 100}},
	}
	for _, m := range f.class("sidecar") {
		m.target.work = func(*http.Request) time.Duration { return time.Duration(100+rand.IntN(200)) * time.Millisecond }
	}
	if prepare != nil {
		prepare(f)
	}
	if err := f.begin(conf.encode(1, 0)); err != nil {
		f.stop()
		return nil, nil, err
	}
	time.Sleep(8 * time.Second)
	return f, conf, nil
}

// book returns a request of the unsafe route. The path names the job, which is the same in each attempt of a client.
func book(job string) *request {
	return &request{method: "POST", host: "book.example", path: "/book/" + job, key: "key-1", body: []byte("job " + job), deadline: 4 * time.Second, kind: "unsafe"}
}

// clients sends perSecond jobs a second for the given time, each from a machine drawn by lot, and waits for their answers. A
// client sends a job again, with a new id, after a status that promises that the attempt has not run, at most twice.
func clients(f *fleet, perSecond int, length time.Duration) {
	var wg sync.WaitGroup
	sides := f.class("sidecar")
	pools := make([]chan *client, len(sides))
	for i, m := range sides {
		pools[i] = make(chan *client, 64)
		for range 4 {
			pools[i] <- &client{m: m}
		}
	}
	var number atomic.Int64
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Second / time.Duration(perSecond)) {
		i := rand.IntN(len(sides))
		wg.Add(1)
		go func() {
			defer wg.Done()
			var c *client
			select {
			case c = <-pools[i]:
			default:
				c = &client{m: sides[i]}
			}
			job := "job-" + strconv.FormatInt(number.Add(1), 10)
			for range 3 {
				s := c.do(book(job))
				if !isPromise(s.status) {
					break
				}
				time.Sleep(200 * time.Millisecond)
			}
			select {
			case pools[i] <- c:
			default:
				c.drop()
			}
		}()
	}
	wg.Wait()
}

// isPromise reports whether a status promises that a request has not run.
func isPromise(status int) bool {
	return status == 429 || status == 503 || status == 408 || status == 421
}

// refusedRuns returns the ids of unsafe requests that were answered with such a status and have run.
func refusedRuns(rec *recorder) []string {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	var list []string
	for id, s := range rec.sent {
		if s.kind == "unsafe" && isPromise(s.status) && len(rec.runs[id]) > 0 {
			list = append(list, id)
		}
	}
	return list
}

// grey503: for 6 s one of 7 targets fails 40% of its requests while its health is good. It begins their work, and then answers
// 503 without X-Not-Executed.
func grey503(rec *recorder, trouble bool) (bool, error) {
	var grey atomic.Bool
	var failed atomic.Int64
	jobs := map[string]int{}
	var mu sync.Mutex
	f, _, err := smallSite(rec, func(f *fleet) {
		for _, m := range f.class("sidecar") {
			m.target.ran = func(t *target, r *http.Request, _ []byte) {
				mu.Lock()
				defer mu.Unlock()
				jobs[r.URL.Path]++
			}
		}
		f.class("sidecar")[0].target.answer = func(t *target, c net.Conn, r *http.Request, _ []byte) (bool, bool) {
			if !grey.Load() || rand.IntN(100) >= 40 {
				return false, true
			}
			failed.Add(1)
			id := r.Header.Get("X-Request-Id")
			time.Sleep(t.work(r))
			rec.event("fails   %s at %s: 503 without X-Not-Executed", id, t.currentID())
			body := responseBody(id, t.currentID(), 100)
			return true, writeAnswer(c, 503, map[string]string{"X-Request-Id": id, "X-Response-Signature": signature(id, t.currentID(), body)}, body)
		}
	})
	if err != nil {
		return false, err
	}
	defer f.stop()
	if trouble {
		time.AfterFunc(2*time.Second, func() { rec.event("srv_grey begins at %s", f.class("sidecar")[0].name); grey.Store(true) })
		time.AfterFunc(8*time.Second, func() { rec.event("srv_grey ends"); grey.Store(false) })
	}
	clients(f, 40, 10*time.Second)
	broken := refusedRuns(rec)
	for _, id := range broken {
		rec.event("REFUSED %s was answered %d and has run", id, rec.sent[id].status)
	}
	twice := 0
	mu.Lock()
	for job, n := range jobs {
		if n > 1 {
			twice++
			rec.event("%s was worked on %d times, by attempts that were sent again after a promise", job, n)
		}
	}
	mu.Unlock()
	fmt.Printf("requests %d, failed by the target %d, answered 429, 503, 408 or 421 though they ran %d, jobs done more than once %d\n", len(rec.sent), failed.Load(), len(broken), twice)
	if trouble && failed.Load() == 0 {
		return false, fmt.Errorf("the target got no request while it failed")
	}
	return len(broken) == 0, nil
}
