package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run, in the order in which it was seen.
type recorder struct {
	mu    sync.Mutex // guards the fields below
	file  *os.File
	began time.Time
	runs  map[string][]run // by request id
	sent  map[string]*sent // by request id
}

// run is a request that a target began to work on.
type run struct {
	at     time.Duration
	target string
	tenant string
}

// sent is a client attempt and its end.
type sent struct {
	id      string
	kind    string
	at      time.Duration
	ended   time.Duration
	status  int    // 0 without an answer
	problem string // what was wrong with the answer
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, began: time.Now(), runs: map[string][]run{}, sent: map[string]*sent{}}, nil
}

func (r *recorder) now() time.Duration { return time.Since(r.began) }

func (r *recorder) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, args...)
}

// line writes a line. The caller holds mu.
func (r *recorder) line(format string, args ...any) {
	fmt.Fprintf(r.file, "%9.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

func (r *recorder) ran(id, target, tenant string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run{time.Since(r.began), target, tenant})
	r.line("run     %s at %s", id, target)
}

func (r *recorder) send(s *sent, where string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.at = time.Since(r.began)
	r.sent[s.id] = s
	r.line("sent    %s %s to %s", s.id, s.kind, where)
}

func (r *recorder) end(s *sent, status int, problem string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.ended, s.status, s.problem = time.Since(r.began), status, problem
	r.line("answer  %s %d %s", s.id, status, problem)
}
