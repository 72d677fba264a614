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

// ejectedMessage is the message of the log line that the fleet writes for an ejection.
const ejectedMessage = "outlier: ejected backend server."

// ejectionLog receives the log lines of the fleet, records the ejections and copies all lines to a file.
type ejectionLog struct {
	file *os.File // nil means no copy

	mu      sync.Mutex // guards ejected and writes to file
	ejected []ejection
}

// WriteEntry implements log.Writer.
func (e *ejectionLog) WriteEntry(entry *log.Entry) (int, error) {
	line := entry.Value()
	e.mu.Lock()
	defer e.mu.Unlock()
	if bytes.Contains(line, []byte(ejectedMessage)) {
		e.recordEjection(line)
	}
	if e.file == nil {
		return len(line), nil
	}
	return e.file.Write(line)
}

// recordEjection records the ejection that a log line reports. The caller holds mu.
func (e *ejectionLog) recordEjection(line []byte) {
	var fields struct {
		Server string `json:"server"`
	}
	if json.Unmarshal(line, &fields) != nil {
		return
	}
	_, server, _ := strings.Cut(fields.Server, "/")
	e.ejected = append(e.ejected, ejection{server: server, at: time.Now(), entry: -1})
}

func (e *ejectionLog) list() []ejection {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]ejection(nil), e.ejected...)
}
