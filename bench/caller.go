package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// patience is how much longer than the route's deadline a caller waits.
const patience = 500 * time.Millisecond

// caller sends the traffic of a schedule to one system.
type caller struct {
	system system
	client *http.Client
	run    string // makes request ids and idempotency keys unique
	// lines takes a line for each request that is not answered, except those over the rate; nil means none.
	lines io.Writer
}

func newCaller(u *user, s system, run string, lines io.Writer) *caller {
	transport := &http.Transport{
		DialContext:         u.callerDialer().DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &caller{system: s, client: &http.Client{Transport: transport}, run: run, lines: lines}
}

// send sends the schedule open-loop from start on and returns when each request has ended.
func (c *caller) send(schedule []arrival, start time.Time, rec *recorder) {
	var running sync.WaitGroup
	for i := range schedule {
		due := start.Add(schedule[i].at)
		time.Sleep(time.Until(due))
		running.Add(1)
		go func() {
			defer running.Done()
			began := time.Now()
			o := c.request(i, &schedule[i])
			rec.add(&schedule[i], o, time.Since(due), began.Sub(due))
		}()
	}
	running.Wait()
	c.client.CloseIdleConnections()
}

// request sends one request and reads the whole answer.
func (c *caller) request(i int, a *arrival) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), a.route.deadline+patience)
	defer cancel()
	req, err := c.build(ctx, i, a)
	if err != nil {
		return failed
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.note(req, failed, err.Error())
		return failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.note(req, failed, err.Error())
		return failed
	}
	o := judge(resp.StatusCode, string(body))
	if o != answered && o != overRate {
		c.note(req, o, fmt.Sprintf("%s %s", resp.Status, body))
	}
	return o
}

// note writes a line about a request that was not answered.
func (c *caller) note(req *http.Request, o outcome, detail string) {
	if c.lines == nil {
		return
	}
	// The log is an aid; a failed write changes no measure.
	_, _ = fmt.Fprintf(c.lines, "caller: %s %s %s %s %s: %q\n", time.Now().UTC().Format("15:04:05.000"), o,
		req.Header.Get(requestID), req.Method, req.URL, detail)
}

func (c *caller) build(ctx context.Context, i int, a *arrival) (*http.Request, error) {
	method := http.MethodGet
	if a.write {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s%s/%d", c.system.caller(a.vm), a.route.path, i)
	if a.nested {
		url += "?nested=" + a.route.nested
	}
	req, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return nil, err
	}
	id := fmt.Sprintf("%s-%d", c.run, i)
	req.Header.Set("Authorization", "Bearer "+c.system.keyOf(a.team))
	req.Header.Set(requestID, id)
	if a.keyed {
		req.Header.Set("Idempotency-Key", id)
	}
	return req, nil
}

// judge tells what an answer means. A stand-in reports the status of its nested call in the body.
func judge(status int, body string) outcome {
	switch {
	case status == http.StatusOK && strings.Contains(body, `"nested":`) && !strings.Contains(body, ` 200"`):
		return nestedFailed
	case status == http.StatusOK:
		return answered
	case status == http.StatusTooManyRequests:
		return overRate
	case status == http.StatusServiceUnavailable:
		return noCapacity
	case status == http.StatusGatewayTimeout:
		return pastDeadline
	default:
		return failed
	}
}

// waitReady waits until a request on each route through each VM is answered.
func (c *caller) waitReady(ctx context.Context, u *user) error {
	errs := make(chan error, u.servers())
	for vm := range u.servers() {
		go func() { errs <- c.waitReadyAt(ctx, u, vm) }()
	}
	var first error
	for range u.servers() {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (c *caller) waitReadyAt(ctx context.Context, u *user, vm int) error {
	for i := range u.routes {
		a := &arrival{team: u.routes[i].teams[0], route: &u.routes[i], vm: vm}
		for {
			o := c.request(-1-vm, a)
			if o == answered {
				break
			}
			if pause(ctx) != nil {
				return fmt.Errorf("%s is not ready: %s through %s: %s", c.system.name(), a.route.path, u.vms()[vm].name, o)
			}
		}
	}
	return nil
}
