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

// extraWait is the time after the route's deadline for which a caller still waits for the response.
const extraWait = 500 * time.Millisecond

// caller sends the requests of a schedule to one system.
type caller struct {
	system system
	client *http.Client
	run    string // prefix of request ids and idempotency keys, which makes them unique
	// log gets a line for each request that was not answered, except for those over the rate. nil means no log.
	log io.Writer
}

func newCaller(u *user, s system, run string, log io.Writer) *caller {
	transport := &http.Transport{
		DialContext:         u.callerDialer().DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		DisableCompression:  true,
	}
	return &caller{system: s, client: &http.Client{Transport: transport}, run: run, log: log}
}

// send sends each request at its scheduled time after start, even while earlier ones are still running (open loop). It
// returns when all requests have ended.
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

// request sends one request, which has index i in the schedule, and reads the whole response.
func (c *caller) request(i int, a *arrival) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), a.route.deadline+extraWait)
	defer cancel()
	req, err := c.build(ctx, i, a)
	if err != nil {
		return failed
	}
	resp, err := c.client.Do(req)
	if err != nil {
		c.logUnanswered(req, failed, err.Error())
		return failed
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.logUnanswered(req, failed, err.Error())
		return failed
	}
	o := classify(resp.StatusCode, string(body))
	if o != answered && o != overRate {
		c.logUnanswered(req, o, fmt.Sprintf("%s %s", resp.Status, body))
	}
	return o
}

// logUnanswered writes a log line about a request that was not answered.
func (c *caller) logUnanswered(req *http.Request, o outcome, detail string) {
	if c.log == nil {
		return
	}
	// A failed write of the log does not affect the measurement.
	_, _ = fmt.Fprintf(c.log, "caller: %s %s %s %s %s: %q\n", time.Now().UTC().Format("15:04:05.000"), o,
		req.Header.Get(requestID), req.Method, req.URL, detail)
}

func (c *caller) build(ctx context.Context, i int, a *arrival) (*http.Request, error) {
	method := http.MethodGet
	if a.write {
		method = http.MethodPost
	}
	url := fmt.Sprintf("http://%s%s/%d", c.system.callerAddress(a.vm), a.route.path, i)
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

// classify returns the outcome of a request from the status and the body of its response. The body of a stand-in's response
// contains the status of its nested call.
func classify(status int, body string) outcome {
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

// waitReady waits until one request on each route through each VM was answered, or ctx ends.
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
