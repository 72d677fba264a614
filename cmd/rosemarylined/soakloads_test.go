package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"strings"
	"time"
)

// Loads of the soak besides the small requests.
const (
	soakUploadMax   = 360 << 10 // bytes; 60 KiB on average
	soakUploadPower = 5         // the mean of the fifth power of a random number is a sixth
	soakSlowBytes   = 3 << 19   // more than a gate reads ahead
	soakSlowPiece   = 64 << 10
	soakSlowPause   = 20 * time.Millisecond
	soakShedTime    = 2 * time.Second
	slowMark        = "-slow-" // in the path of a request with a long response
)

// soakResponse returns the body of the response to a request.
func soakResponse(path, body string) string {
	response := path + "\n" + body
	if strings.Contains(path, slowMark) {
		response += strings.Repeat(".", soakSlowBytes)
	}
	return response
}

// slowBody reads a body in pieces with pauses.
type slowBody struct{ io.Reader }

func (b slowBody) Read(p []byte) (int, error) {
	time.Sleep(soakSlowPause)
	return b.Reader.Read(p[:min(len(p), soakSlowPiece)])
}

// sendBytes sends uploads and requests with long responses, which are read slowly, through one VM until the context ends.
func (s *soak) sendBytes(ctx context.Context, vm *testVM) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport, Timeout: 15 * time.Second}
	for i := 0; ctx.Err() == nil; i++ {
		if i%2 == 0 {
			s.send(client, vm, http.MethodGet, fmt.Sprint("/rounds/", vm.name, slowMark, i), "")
		} else {
			size := soakUploadMax * math.Pow(float64(s.randomInt(1000))/1000, soakUploadPower)
			s.send(client, vm, http.MethodPost, fmt.Sprint("/rounds/", vm.name, "-upload-", i), strings.Repeat("u", int(size)))
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// shedRequests makes one backend server after the other respond with 503 to half of its requests, without running them, until the
// context ends.
func (s *soak) shedRequests(ctx context.Context) {
	for ctx.Err() == nil {
		b := s.backends[s.randomInt(len(s.backends))]
		b.sheds.Store(true)
		select {
		case <-time.After(soakShedTime):
		case <-ctx.Done():
		}
		b.sheds.Store(false)
	}
}
