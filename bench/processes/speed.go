package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"rosemaryline.dev/fleet/config"
	"rosemaryline.dev/standin"
)

const (
	// speedKey is the key of the team that sends the requests.
	speedKey = "bench-key"
	// speedCallers is the number of concurrent callers in the closed loop.
	speedCallers = 32
	// speedSlots is far more slots than the load needs, so that no request waits for a slot.
	speedSlots = 200
	// idleConnections is the number of connections over which the memory per connection is averaged.
	idleConnections = 1000
	// maxLatency is the upper limit of the histogram.
	maxLatency = 10 * time.Second
)

// requestPath is a path from a caller to the backend server.
type requestPath struct {
	name, url string
	// processes are the processes that a request passes through.
	processes []*process
}

// addSpeedConfig adds the service, route and team of the speed measurement to the configuration.
func addSpeedConfig(doc *config.Document) {
	doc.Services["speed"] = config.Service{
		Slots: speedSlots, Connections: speedSlots, FloorPercent: 50, Ramp: config.Ramp{InitialSlots: speedSlots},
	}
	doc.Routes["speed"] = config.Route{Path: "/speed", Service: "speed", Access: config.AccessOpen}
	doc.Teams["speed"] = config.Team{Rate: 1e6, Burst: 1e6, KeyHashes: []string{config.HashKey(speedKey)}}
}

// measureSpeed measures requests to a backend server that go directly, through the process on its VM, and through another
// process first. It records the throughput of the paths through processes in a closed loop, and the latency of all paths at
// half of the throughput of the longest one. d is the duration of each step.
func (f *fleet) measureSpeed(ctx context.Context, d time.Duration, result speedResult) error {
	first, second := f.Processes[0], f.Processes[1]
	backend, err := standin.Start(standin.Options{
		Name: "speed-1", Service: "speed", Listen: "127.0.0.1:0", Slots: speedSlots, Announce: "http://" + first.Local,
	})
	if err != nil {
		return err
	}
	defer backend.Stop()
	paths := []requestPath{
		{"direct", "http://" + backend.Address() + "/speed", nil},
		{"one process", "http://" + first.Caller + "/speed", []*process{first}},
		{"two processes", "http://" + second.Caller + "/speed", []*process{first, second}},
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4 * speedCallers}}
	for _, p := range paths {
		if err := f.Retry(ctx, func() error { return get(client, p.url) }); err != nil {
			return errors.Wrap(err, p.name)
		}
	}
	longestPathRate := 0.0
	for _, p := range paths[1:] {
		rate, err := closedLoop(client, p, d, result)
		if err != nil {
			return errors.Wrap(err, p.name)
		}
		longestPathRate = rate // the last path is the longest; its rate sets the load for all
	}
	for _, p := range paths {
		histogram, failed := openLoop(client, p.url, longestPathRate/2, d)
		fmt.Fprintf(os.Stderr, "speed: %-14s at %.0f req/s: p50 %v, p95 %v, p99 %v of %d answered, %d failed\n", p.name, longestPathRate/2,
			quantile(histogram, 50), quantile(histogram, 95), quantile(histogram, 99), histogram.TotalCount(), failed)
		for _, q := range []float64{50, 95, 99} {
			result.set(fmt.Sprintf("%s: p%.0f", p.name, q), "us", float64(histogram.ValueAtQuantile(q)))
		}
		result.add(failedRequests, "", float64(failed))
	}
	return measureConnections(first, result)
}

// quantile returns a percentile, from 0 to 100, of a histogram in microseconds.
func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	return time.Duration(h.ValueAtQuantile(q)) * time.Microsecond
}

// get sends one request and reads the response. A status other than 200 is an error.
func get(client *http.Client, url string) error {
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+speedKey)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("status %s", resp.Status)
	}
	return nil
}

// closedLoop sends requests from speedCallers callers, each of which sends the next one after the response to the last one.
// It records and returns the rate of answered requests per second, and records the processor time of the processes on the
// path.
func closedLoop(client *http.Client, p requestPath, d time.Duration, result speedResult) (rate float64, err error) {
	before, err := cpuTime(p.processes)
	if err != nil {
		return 0, err
	}
	var answered, failed atomic.Int64
	var wg sync.WaitGroup
	start := time.Now()
	for range speedCallers {
		wg.Go(func() {
			for time.Since(start) < d {
				if get(client, p.url) != nil {
					failed.Add(1)
					continue
				}
				answered.Add(1)
			}
		})
	}
	wg.Wait()
	elapsed := time.Since(start)
	after, err := cpuTime(p.processes)
	if err != nil {
		return 0, err
	}
	if answered.Load() == 0 {
		// The rate of the open loop is derived from this one.
		return 0, errors.Errorf("no request was answered, %d failed", failed.Load())
	}
	rate = float64(answered.Load()) / elapsed.Seconds()
	cpu := after - before
	result.set(p.name+": throughput", "req/s", rate)
	result.set(p.name+": processor time of a request", "us", cpu.Seconds()*1e6/float64(answered.Load()))
	result.add(failedRequests, "", float64(failed.Load()))
	fmt.Fprintf(os.Stderr, "speed: %s, %d callers: %.0f req/s, %d failed, %v of processor time a request in its processes, %.0f requests a second and core\n",
		p.name, speedCallers, rate, failed.Load(), (cpu / time.Duration(answered.Load())).Round(time.Microsecond),
		float64(answered.Load())/cpu.Seconds())
	return rate, nil
}

// cpuTime returns the sum of the processor times of processes.
func cpuTime(processes []*process) (sum time.Duration, err error) {
	for _, p := range processes {
		u, err := p.Usage()
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

// openLoop sends requests at a fixed rate per second, however long the responses take. The latency of a request counts from
// its scheduled time. failed is the number of requests without a response of status 200.
func openLoop(client *http.Client, url string, rate float64, d time.Duration) (h *hdrhistogram.Histogram, failed int) {
	histogram := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	var mu sync.Mutex // guards histogram and failed
	var wg sync.WaitGroup
	interval := time.Duration(float64(time.Second) / rate)
	start := time.Now()
	for due := start; due.Sub(start) < d; due = due.Add(interval) {
		time.Sleep(time.Until(due))
		wg.Go(func() {
			err := get(client, url)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			// RecordValue fails only for a value outside the limits.
			_ = histogram.RecordValue(min(time.Since(due), maxLatency).Microseconds())
		})
	}
	wg.Wait()
	return histogram, failed
}

// measureConnections records the memory that an idle connection of a caller takes in the process.
func measureConnections(p *process, result speedResult) error {
	before, err := p.Usage()
	if err != nil {
		return err
	}
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range idleConnections {
		c, err := net.Dial("tcp", p.Caller)
		if err != nil {
			return err
		}
		conns = append(conns, c)
		if _, err := io.WriteString(c, "GET /none HTTP/1.1\r\nHost: bench\r\n\r\n"); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	after, err := p.Usage()
	if err != nil {
		return err
	}
	grown := max(int64(after.RSS)-int64(before.RSS), 0)
	result.set("idle connection: memory", "KB", float64(grown)/idleConnections/1e3)
	fmt.Fprintf(os.Stderr, "memory: %.1f MB resident before and %.1f MB after %d idle connections, %.1f KB each\n",
		float64(before.RSS)/1e6, float64(after.RSS)/1e6, idleConnections, float64(grown)/idleConnections/1e3)
	return nil
}
