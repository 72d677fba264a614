package loadgen

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"rosemaryline.dev/rpc/httpresponse"
)

const (
	// maxInFlight limits the requests in flight. Above it the generator, not the fleet, would be measured; arrivals are counted
	// as skipped.
	maxInFlight = 2000
	// readChunk is the number of bytes that a caller with a Kind.ReadRate reads at once.
	readChunk = 4 << 10
	// slowReceiveBuffer is the receive buffer of the connections of callers that read slowly. The kernel's default grows to
	// megabytes, so that the fleet would not notice them. Below the segment size of loopback, 64 KB, a sender waits 200 ms for
	// each window.
	slowReceiveBuffer = 128 << 10
)

// arrival is one request of a load.
type arrival struct {
	at   time.Duration
	kind int32
	team int32 // index in Kind.teams
}

// arrivals returns the requests of a load in the order of time. The same Spec gives the same arrivals.
func (s *Spec) arrivals() []arrival {
	var all []arrival
	for i := range s.Kinds {
		k := &s.Kinds[i]
		for t, team := range k.teams() {
			source := func(burst int) *rand.Rand {
				return rand.New(rand.NewPCG(s.Seed, uint64(i)|uint64(t)<<16|uint64(burst)<<40))
			}
			add := func(a arrival) { all = append(all, a) }
			k.draw(source(0), 1, k.From, k.For, int32(i), int32(t), add)
			for n := range k.Bursts {
				if b := &k.Bursts[n]; b.Team == "" || b.Team == team {
					k.draw(source(n+1), b.Factor-1, b.From, b.For, int32(i), int32(t), add)
				}
			}
		}
	}
	slices.SortStableFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	return all
}

// draw draws the arrivals at factor times the rate in a time.
func (k *Kind) draw(rng *rand.Rand, factor float64, from, length time.Duration, kind, team int32, add func(arrival)) {
	for at := from; ; {
		at += time.Duration(rng.ExpFloat64() / k.Rate / factor * float64(time.Second))
		if at >= from+length {
			return
		}
		add(arrival{at, kind, team})
	}
}

// bodySize draws the size of a body.
func (k *Kind) bodySize(rng *rand.Rand) int64 {
	if k.BodyMax == 0 {
		return int64(k.Body)
	}
	return int64(min(rng.ExpFloat64()*float64(k.Body), float64(k.BodyMax)))
}

// caller sends the requests of one measurement.
type caller struct {
	spec *Spec
	// urls are the base URLs of the processes, one of which is drawn for each request.
	urls       []string
	keys       map[string]string
	fast, slow *http.Client // slow is that of callers with a ReadRate
}

func newCaller(s *Spec, urls []string, keys map[string]string) *caller {
	client := func(dial func(context.Context, string, string) (net.Conn, error)) *http.Client {
		return &http.Client{
			Transport:     &http.Transport{MaxIdleConnsPerHost: maxInFlight, DisableCompression: true, DialContext: dial},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	}
	return &caller{spec: s, urls: urls, keys: keys, fast: client(nil), slow: client(dialSlow)}
}

// dialSlow opens a connection with a small receive buffer.
func dialSlow(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if tcp, ok := conn.(*net.TCPConn); ok && err == nil {
		err = tcp.SetReadBuffer(slowReceiveBuffer)
	}
	return conn, err
}

func (c *caller) close() {
	c.fast.CloseIdleConnections()
	c.slow.CloseIdleConnections()
}

// Run sends the load to the processes at urls and returns how it ended. keys has the keys of the teams. progress is called about
// once a second with the time since the start and the numbers of requests that were sent and have ended. If ctx ends, Run
// returns its cause.
func (s *Spec) Run(ctx context.Context, urls []string, keys map[string]string, progress func(at time.Duration, sent, ended int)) (*Result, error) {
	c := newCaller(s, urls, keys)
	defer c.close()
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
			result.record(a, outcome{end: Skipped}, counted)
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
			o := c.send(ctx, a, n)
			mu.Lock()
			defer mu.Unlock()
			ended++
			inFlight--
			result.record(a, o, counted)
		})
	}
	pending.Wait()
	result.finish()
	return result, context.Cause(ctx)
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

// send sends the request with number n and returns how it ended.
func (c *caller) send(ctx context.Context, a arrival, n int) outcome {
	k := &c.spec.Kinds[a.kind]
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	// The entry and the size of a request depend on its number only, so that they are the same for each target.
	rng := rand.New(rand.NewPCG(c.spec.Seed, uint64(n)|1<<63))
	url := strings.TrimSuffix(c.urls[rng.IntN(len(c.urls))], "/")
	req, err := c.request(ctx, a, url, strconv.Itoa(n), k.bodySize(rng))
	if err != nil {
		return outcome{end: Broken}
	}
	client := c.fast
	if k.ReadRate > 0 {
		client = c.slow
	}
	began := time.Now()
	resp, err := client.Do(req)
	if err == nil {
		err = readResponse(ctx, resp, k.ReadRate)
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

// request returns a request of a kind and team. number replaces {n} in the path.
func (c *caller) request(ctx context.Context, a arrival, url, number string, size int64) (*http.Request, error) {
	k := &c.spec.Kinds[a.kind]
	// net/http sends a request again by itself after a broken connection, unless it has a body that can be read only once.
	body := io.NopCloser(io.LimitReader(filler{}, size))
	req, err := http.NewRequestWithContext(ctx, k.Method, url+strings.ReplaceAll(k.Path, "{n}", number), body)
	if err != nil {
		return nil, err
	}
	req.ContentLength = size
	if key := c.keys[k.teams()[a.team]]; key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range k.Headers {
		req.Header.Set(name, value)
	}
	return req, nil
}

// readResponse reads a response to its end. It returns an error for one that is broken.
func readResponse(ctx context.Context, resp *http.Response, rate int) error {
	if err := httpresponse.CheckFinal(resp); err != nil {
		return err
	}
	if err := readAt(ctx, resp.Body, rate); err != nil {
		return err
	}
	return httpresponse.CheckTrailer(resp)
}

// readAt reads a response to its end, at most rate bytes per second; 0: as fast as it arrives.
func readAt(ctx context.Context, body io.Reader, rate int) error {
	if rate == 0 {
		_, err := io.Copy(io.Discard, body)
		return err
	}
	began := time.Now()
	buffer := make([]byte, readChunk)
	for total := 0; ; {
		n, err := body.Read(buffer)
		total += n
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if !sleepUntil(ctx, began.Add(time.Duration(float64(total)/float64(rate)*float64(time.Second)))) {
			return ctx.Err()
		}
	}
}
