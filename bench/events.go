package main

import (
	"bytes"
	"encoding/json"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
)

// ejectedMessage is the log line of an ejection.
const ejectedMessage = "outlier: ejected backend server."

// events takes the log lines of the fleet and notes the ejections.
type events struct {
	file *os.File // may be nil

	mu      sync.Mutex // guards ejected and writes to file
	ejected []ejection
}

// WriteEntry implements log.Writer.
func (e *events) WriteEntry(entry *log.Entry) (int, error) {
	line := entry.Value()
	e.mu.Lock()
	defer e.mu.Unlock()
	if bytes.Contains(line, []byte(ejectedMessage)) {
		e.note(line)
	}
	if e.file == nil {
		return len(line), nil
	}
	return e.file.Write(line)
}

func (e *events) note(line []byte) {
	var fields struct {
		Server string `json:"server"`
	}
	if json.Unmarshal(line, &fields) != nil {
		return
	}
	_, server, _ := strings.Cut(fields.Server, "/")
	e.ejected = append(e.ejected, ejection{server: server, at: time.Now(), entry: -1})
}

func (e *events) list() []ejection {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ejection(nil), e.ejected...)
}
