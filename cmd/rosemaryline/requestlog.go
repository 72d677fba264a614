package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxLogLine is the size in bytes of the longest log line that is read; longer ones are skipped.
	maxLogLine = 1 << 20
	// judgementWindow is the time before and after a request in which the judgements of its backend servers explain it.
	judgementWindow = 10 * time.Second
)

// logLine is one line of the structured log of a process.
type logLine struct {
	Time    time.Time         `json:"time"`
	VM      string            `json:"vm"`
	Message string            `json:"message"`
	Request string            `json:"request,omitempty"`
	Fields  map[string]string `json:"fields"`
}

// requestLog is what the logs of a fleet tell of one request.
type requestLog struct {
	// Lines are the lines of the request and of the calls that were made for it, in the order of time.
	Lines []logLine `json:"lines"`
	// Judgements are the changes of health of the backend servers in Lines, within judgementWindow.
	Judgements []logLine `json:"judgements"`
	// LeftOut is the number of lines that processes left out of their logs within judgementWindow.
	LeftOut int `json:"leftOut"`
	// Conclusion says how the request ended.
	Conclusion string `json:"conclusion"`
}

// explainRequest reads all files below dir and returns what they tell of a request. Lines that are not structured logs are
// skipped. It fails if a file cannot be read, or if no line mentions the request.
func explainRequest(dir, id string) (*requestLog, error) {
	var lines, judgements, leftOut []logLine
	err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		file, err := os.Open(path)
		if err != nil {
			return err
		}
		defer file.Close()
		return errors.Wrap(scanLog(file, func(l logLine) {
			switch {
			case l.Request == id || strings.HasPrefix(l.Request, id+"."):
				lines = append(lines, l)
			case l.Message == "gate: judged backend server.":
				judgements = append(judgements, l)
			case l.Message == "log: left lines out.":
				leftOut = append(leftOut, l)
			}
		}), path)
	})
	if err != nil {
		return nil, err
	}
	if len(lines) == 0 {
		return nil, notFoundError("no log line below " + dir + " mentions request " + id)
	}
	byTime := func(l []logLine) { sort.SliceStable(l, func(i, j int) bool { return l[i].Time.Before(l[j].Time) }) }
	byTime(lines)
	byTime(judgements)
	first, last := lines[0].Time.Add(-judgementWindow), lines[len(lines)-1].Time.Add(judgementWindow)
	outside := func(l logLine) bool { return l.Time.Before(first) || l.Time.After(last) }
	servers := map[string]bool{}
	for i := range lines {
		servers[lines[i].Fields["server"]] = true
	}
	log := &requestLog{Lines: lines, Conclusion: concludeRequest(lines, id)}
	log.Judgements = slices.DeleteFunc(judgements, func(l logLine) bool { return outside(l) || !servers[l.Fields["server"]] })
	for _, l := range slices.DeleteFunc(leftOut, outside) {
		var n int
		if _, err := fmt.Sscan(l.Fields["lines"], &n); err == nil {
			log.LeftOut += n
		}
	}
	return log, nil
}

// scanLog calls found for each structured log line of r.
func scanLog(r io.Reader, found func(logLine)) error {
	reader := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := readLine(reader)
		if l, ok := parseLogLine(text); ok {
			found(l)
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine returns the next line, or nothing in place of one that is longer than maxLogLine.
func readLine(r *bufio.Reader) (line []byte, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if len(line)+len(part) <= maxLogLine {
			line = append(line, part...)
		} else {
			line = line[:0]
		}
		if err != bufio.ErrBufferFull {
			return line, err
		}
	}
}

// parseLogLine parses a line. It skips text before the JSON object, which some collectors add.
func parseLogLine(text []byte) (logLine, bool) {
	start := slices.Index(text, '{')
	if start < 0 {
		return logLine{}, false
	}
	var values map[string]any
	if json.Unmarshal(text[start:], &values) != nil {
		return logLine{}, false
	}
	l := logLine{Fields: map[string]string{}}
	for key, value := range values {
		if value == nil || value == "" {
			continue
		}
		l.Fields[key] = fmt.Sprint(value)
	}
	var err error
	if l.Time, err = time.Parse(time.RFC3339, l.Fields["time"]); err != nil {
		return logLine{}, false
	}
	l.VM, l.Message, l.Request = l.Fields["vm"], l.Fields["message"], l.Fields["request"]
	for _, key := range []string{"time", "level", "vm", "message", "request"} {
		delete(l.Fields, key)
	}
	return l, l.Message != ""
}

// concludeRequest tells from the last lines of the request itself how it ended.
func concludeRequest(lines []logLine, id string) string {
	conclusion := "no line says how the request ended; it may still run, or the line was left out"
	for i := range lines {
		l := &lines[i]
		if l.Request != id {
			continue
		}
		switch l.Message {
		case "gate: request answered.":
			conclusion = fmt.Sprintf("backend server %s answered with status %s after %s ms", l.Fields["server"], l.Fields["status"], l.Fields["took"])
		case "entry: refused request.":
			conclusion = fmt.Sprintf("the entry refused it with status %s, reason %s, outcome %s", l.Fields["status"], l.Fields["reason"], l.Fields["outcome"])
		}
	}
	for i := range lines {
		if l := &lines[i]; l.Request != id && l.Message == "entry: refused request." {
			return conclusion + "; its call " + l.Request + " was refused, reason " + l.Fields["reason"]
		}
	}
	return conclusion
}

func (a *app) printRequestLog(log *requestLog) error {
	a.printMessage("%s.", strings.ToUpper(log.Conclusion[:1])+log.Conclusion[1:])
	if log.LeftOut > 0 {
		a.printMessage("Processes left %d lines out of their logs at that time.", log.LeftOut)
	}
	began := log.Lines[0].Time
	rows := [][]string{row("MS", "VM", "REQUEST", "MESSAGE", "FIELDS")}
	for _, l := range slices.Concat(log.Lines, log.Judgements) {
		rows = append(rows, row(l.Time.Sub(began).Milliseconds(), l.VM, orDash(l.Request), l.Message, l.fieldText()))
	}
	return a.print(log, rows...)
}

// fieldText returns the fields as key=value, sorted by key.
func (l *logLine) fieldText() string {
	texts := make([]string, 0, len(l.Fields))
	for key, value := range l.Fields {
		texts = append(texts, key+"="+value)
	}
	slices.Sort(texts)
	return strings.Join(texts, " ")
}
