package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["encoded-prefix"] = encodedPrefix }

// encodedPrefix: the operator adds a route for the customers of one more city, whose prefix holds a percent-encoded letter. Without
// the trouble the prefix of the added route is spelled in ASCII.
func encodedPrefix(rec *recorder, trouble bool) (bool, error) {
	prefix := "/zuerich/"
	if trouble {
		prefix = "/z%C3%BCrich/"
	}
	f, conf, err := smallSite(rec, nil)
	if err != nil {
		return false, err
	}
	defer f.stop()
	changed := *conf
	changed.routes = append([]routeConfig{}, conf.routes...)
	changed.routes = append(changed.routes, routeConfig{host: "book.example", prefix: prefix, kind: "unsafe", service: "planning", timeoutMs: 4000, priority: 1})
	rec.event("configuration r2 adds the route %s", prefix)
	if err := f.mustOrder("POST", "/v1/Config.Replace", changed.encode(2, 1), 4*time.Second); err != nil {
		return false, err
	}
	acked := rec.now()
	rec.event("configuration r2 is acknowledged")
	var wg sync.WaitGroup
	sides := f.class("sidecar")
	job := 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		job++
		q := book("job-" + strconv.Itoa(job))
		if job%2 == 0 {
			q.path, q.kind = prefix+"job-"+strconv.Itoa(job), "added route"
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
	const configApply = 2 * time.Second
	added, broken := 0, 0
	for id, s := range rec.sent {
		if strings.HasPrefix(s.kind, "added") && s.at > acked+configApply {
			added++
			if s.status == 401 || s.status == 403 || s.status == 404 {
				broken++
				rec.line("CONFIG  %s, sent %v after the acknowledgement, got %d", id, (s.at - acked).Round(time.Millisecond), s.status)
			}
		}
	}
	fmt.Printf("requests of the added route sent later than configApplyMs %d, refused with 401, 403 or 404 %d\n", added, broken)
	if added == 0 {
		return false, fmt.Errorf("no request of the added route was sent")
	}
	return broken == 0, nil
}
