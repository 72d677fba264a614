package loadgen

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxInFlight limits the requests in flight. Above it the generator, not the fleet, would be measured; arrivals are counted as
// skipped.
const maxInFlight = 2000

// arrival is one request of a load.
type arrival struct {
	at   time.Duration
	kind int
}

// arrivals returns the requests of a load in the order of time. The same Spec gives the same arrivals.
func (s *Spec) arrivals() []arrival {
	var all []arrival
	for i := range s.Kinds {
		k := &s.Kinds[i]
		rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		for at := k.From; ; {
			at += time.Duration(rng.ExpFloat64() / k.Rate * float64(time.Second))
			if at >= k.From+k.For {
				break
			}
			all = append(all, arrival{at, i})
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// Run sends the load to the fleet at baseURL and returns how it ended. progress is called about once a second with the time
// since the start and the numbers of requests that were sent and have ended. If ctx ends, Run returns its error.
func (s *Spec) Run(ctx context.Context, baseURL string, progress func(at time.Duration, sent, ended int)) (*Result, error) {
	transport := &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	result := newResult(s)
	var mu sync.Mutex // guards result, ended and inFlight
	var pending sync.WaitGroup
	sent, ended, inFlight := 0, 0, 0
	began, reported := time.Now(), time.Duration(0)
	for n, a := range s.arrivals() {
		if !sleepUntil(ctx, began.Add(a.at)) {
			break
		}
		counted := a.at >= s.WarmUp
		mu.Lock()
		if inFlight >= maxInFlight {
			result.record(a.kind, a.at, outcome{end: Skipped}, counted)
			mu.Unlock()
			continue
		}
		inFlight++
		done := ended
		mu.Unlock()
		sent++
		if progress != nil && a.at-reported >= time.Second {
			reported = a.at
			progress(a.at, sent, done)
		}
		pending.Go(func() {
			o := send(ctx, client, baseURL, &s.Kinds[a.kind], n)
			mu.Lock()
			defer mu.Unlock()
			ended++
			inFlight--
			result.record(a.kind, a.at, o, counted)
		})
	}
	pending.Wait()
	result.finish()
	return result, ctx.Err()
}

// sleepUntil returns false if ctx ended before t.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// filler is an endless body. It takes no memory, however many requests are in flight.
type filler struct{}

// Read implements io.Reader.
func (filler) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// send sends one request and returns how it ended.
func send(ctx context.Context, client *http.Client, baseURL string, k *Kind, n int) outcome {
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	path := strings.ReplaceAll(k.Path, "{n}", strconv.Itoa(n))
	// net/http sends a request again by itself after a broken connection, unless it has a body that can be read only once.
	body := io.NopCloser(io.LimitReader(filler{}, int64(k.Body)))
	req, err := http.NewRequestWithContext(ctx, k.Method, strings.TrimSuffix(baseURL, "/")+path, body)
	if err != nil {
		return outcome{end: Broken}
	}
	req.ContentLength = int64(k.Body)
	for name, value := range k.Headers {
		req.Header.Set(name, value)
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
	took := time.Since(began)
	switch {
	case ctx.Err() != nil:
		return outcome{TimedOut, took}
	case err != nil:
		return outcome{Broken, took}
	case resp.StatusCode == http.StatusTooManyRequests || resp.StatusCode == http.StatusServiceUnavailable:
		return outcome{Refused, took}
	case resp.StatusCode >= http.StatusBadRequest:
		return outcome{Failed, took}
	case took > k.Objective:
		return outcome{Late, took}
	default:
		return outcome{InTime, took}
	}
}
