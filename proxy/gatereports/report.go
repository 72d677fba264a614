// Package gatereports decides which reports of gates a process keeps and passes on. Entries and gates attach a few of them
// to the requests and responses that they exchange, so that what one entry learns of a gate reaches the others without
// messages of its own. The package is pure: it has no clock, lock or I/O.
package gatereports

import (
	"math"
	"strconv"
	"strings"
	"time"

	"rosemaryline.dev/outlier"
)

// Report is what a gate says of the backend servers of one service on its VM.
type Report struct {
	// VM is the VM of the gate.
	VM string
	// Made is the time since the start of the gate's process at which it made the report. It orders the reports of one gate
	// exactly, whatever path they took.
	Made time.Duration
	// At is the same moment on the clock of the process that holds the report. It is late by the time that the report spent
	// on the network.
	At time.Duration
	// InFlight, Slots and Queued are the numbers of running requests, of slots and of queued requests.
	InFlight, Slots, Queued int
	// Start is the time until a new request would start, Speed the speed relative to the usual one.
	Start time.Duration
	Speed float64
	// Health is the judgement of the circuit breaker. The other fields below are 0 while it is healthy.
	Health outlier.Health
	// TrialIn is the time until the gate admits a request that may fail as a trial, PressedTrialIn that for any other one.
	TrialIn, PressedTrialIn time.Duration
}

const (
	// MaxReports is the number of reports in one header. With three of others in each direction, an entry that exchanges 20 requests
	// per second hears of each of 50 gates twice a second. Each takes about 40 bytes.
	MaxReports = 4
	// maxNameBytes is the maximum length of a VM's name in a header.
	maxNameBytes = 255
	// maxTime limits the times in a header.
	maxTime = 10 * time.Minute
	// maxMade limits the time since the start of a process, about 30 years.
	maxMade = 10_000 * 24 * time.Hour
	// maxCount limits the numbers of requests and slots.
	maxCount = 1_000_000
	// permille is the unit of the speed, and maxSpeedPermille the highest one.
	permille         = 1000
	maxSpeedPermille = 100 * permille
)

// Format returns the value of the header: the reports separated by commas, the fields of each by semicolons. They are the VM,
// the time since the start of its process, the age, requests/slots/queued, start and speed, and for a gate that is not healthy
// also its health (1 suspect, 2 faulty) and the times until trials. Times are in milliseconds, the speed is in permille.
func Format(reports []Report, now time.Duration) string {
	var b strings.Builder
	for i := range reports {
		r := &reports[i]
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(r.VM)
		appendInts(&b, ';', min(r.Made.Milliseconds(), maxMade.Milliseconds()), millis(now-r.At), int64(r.InFlight))
		appendInts(&b, '/', int64(r.Slots), int64(r.Queued))
		appendInts(&b, ';', millis(r.Start), min(max(int64(math.Round(r.Speed*permille)), 1), maxSpeedPermille))
		if r.Health != outlier.Healthy {
			appendInts(&b, ';', int64(r.Health), millis(r.TrialIn), millis(r.PressedTrialIn))
		}
	}
	return b.String()
}

func appendInts(b *strings.Builder, separator byte, values ...int64) {
	for _, v := range values {
		b.WriteByte(separator)
		b.WriteString(strconv.FormatInt(v, 10))
	}
}

// millis rounds up, so that a wait never becomes 0.
func millis(d time.Duration) int64 {
	return int64((min(max(d, 0), maxTime) + time.Millisecond - 1) / time.Millisecond)
}

// Parse returns the reports in the values of the header. now is the time at which they arrived. Reports that cannot be read are
// left out, and so is everything after the first MaxReports.
func Parse(values []string, now time.Duration) []Report {
	if len(values) != 1 {
		return nil
	}
	var reports []Report
	rest := values[0]
	for range MaxReports {
		text, tail, more := strings.Cut(rest, ",")
		if r, ok := parseReport(text, now); ok {
			reports = append(reports, r)
		}
		if !more {
			break
		}
		rest = tail
	}
	return reports
}

func parseReport(text string, now time.Duration) (r Report, ok bool) {
	fields := strings.SplitN(text, ";", 10)
	if len(fields) != 6 && len(fields) != 9 || !validName(fields[0]) {
		return r, false
	}
	load := strings.SplitN(fields[3], "/", 4)
	if len(load) != 3 {
		return r, false
	}
	var p parser
	r.VM = fields[0]
	r.Made = p.millis(fields[1], maxMade)
	r.At = now - p.millis(fields[2], maxTime)
	r.InFlight, r.Slots, r.Queued = int(p.number(load[0], maxCount)), int(p.number(load[1], maxCount)), int(p.number(load[2], maxCount))
	r.Start = p.millis(fields[4], maxTime)
	r.Speed = float64(p.number(fields[5], maxSpeedPermille)) / permille
	if len(fields) == 9 {
		r.Health = outlier.Health(p.number(fields[6], int64(outlier.Faulty)))
		r.TrialIn, r.PressedTrialIn = p.millis(fields[7], maxTime), p.millis(fields[8], maxTime)
		p.failed = p.failed || r.Health == outlier.Healthy
	}
	return r, !p.failed && r.Speed > 0
}

// validName reports whether a name is printable ASCII of a sensible length. Names with separators do not get here.
func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i := range len(name) {
		if name[i] <= ' ' || name[i] > '~' {
			return false
		}
	}
	return true
}

// parser parses numbers of decimal digits without sign or leading zeros, and remembers whether one failed.
type parser struct{ failed bool }

func (p *parser) number(text string, limit int64) int64 {
	valid := text != "" && (text[0] != '0' || len(text) == 1)
	for i := range len(text) {
		valid = valid && text[i] >= '0' && text[i] <= '9'
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if !valid || err != nil || n > limit {
		p.failed = true
		return 0
	}
	return n
}

func (p *parser) millis(text string, limit time.Duration) time.Duration {
	return time.Duration(p.number(text, limit.Milliseconds())) * time.Millisecond
}
