package gatereports

import (
	"time"

	"rosemaryline.dev/outlier"
)

const (
	// MaxAge is the age up to which reports are passed on. It is the half-life of a load report: an older one says little of a
	// queue that turns over several times per second.
	MaxAge = 2 * time.Second
	// maxSends is how often a process passes one report on. As each receiver does the same, seven suffice for hundreds of
	// processes even if half of the receivers know the report already.
	maxSends = 7
	// urgentSends is how often a report of a gate that is not healthy, or has just become so, precedes those of others. A choice of such a gate
	// costs a hop or a request, one of a busy gate only a wait.
	urgentSends = 3
	// restartAfter is how much later a report with a lower Made must be to come from a new process of the gate. Reports spend
	// less time on the network.
	restartAfter = 3 * time.Second
	// maxGates limits the gates of one service that a process keeps, at twice the largest fleet that the design is for. Names come from
	// other processes, and a faulty one must not fill the memory.
	maxGates = 4096
	// retention is how long the last report of a gate is kept.
	retention = time.Minute
)

// Table holds the newest report of each gate by service. It handles the load pattern in which a hundred or more entries
// see a few requests per second each, so that none of them knows the present state of most gates by itself, while together
// they hear of each gate several times per second.
type Table struct {
	byService map[string]map[string]*row
}

type row struct {
	report Report
	// sent is how often the report was passed on.
	sent int
	// urgent is true if the report is to precede those of other gates.
	urgent bool
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{byService: map[string]map[string]*row{}} }

// Receive stores a report and returns true if it is newer than the last one of the same gate.
func (t *Table) Receive(service string, r Report) bool {
	rows := t.byService[service]
	if rows == nil {
		rows = map[string]*row{}
		t.byService[service] = rows
	}
	known, ok := rows[r.VM]
	if ok && r.Made <= known.report.Made && r.At < known.report.At+restartAfter {
		return false
	}
	if !ok && len(rows) >= maxGates {
		return false
	}
	urgent := r.Health != outlier.Healthy || ok && (known.report.Health != r.Health || known.isUrgent())
	rows[r.VM] = &row{report: r, urgent: urgent}
	return true
}

// Pick returns up to n reports of other gates of a service to pass on to a process on the VM to, and counts them as passed on. The ones
// about gates that are not healthy come first, then those that were passed on least, and of those the newest.
func (t *Table) Pick(service, own, to string, now time.Duration, n int) []Report {
	var best [MaxReports]*row
	n = min(n, len(best))
	found := 0
	for vm, r := range t.byService[service] {
		if vm == own || vm == to || r.sent >= maxSends || now-r.report.At > MaxAge {
			continue
		}
		i := found
		for ; i > 0 && r.precedes(best[i-1]); i-- {
			if i < n {
				best[i] = best[i-1]
			}
		}
		if i < n {
			best[i] = r
			found = min(found+1, n)
		}
	}
	reports := make([]Report, 0, found)
	for _, r := range best[:found] {
		r.sent++
		reports = append(reports, r.report)
	}
	return reports
}

func (r *row) isUrgent() bool { return r.urgent && r.sent < urgentSends }

// precedes reports whether r is to be passed on before other. The name makes the order total.
func (r *row) precedes(other *row) bool {
	switch {
	case r.isUrgent() != other.isUrgent():
		return r.isUrgent()
	case r.sent != other.sent:
		return r.sent < other.sent
	case r.report.At != other.report.At:
		return r.report.At > other.report.At
	default:
		return r.report.VM < other.report.VM
	}
}

// Sweep drops the reports of gates that have not been heard of for long.
func (t *Table) Sweep(now time.Duration) {
	for service, rows := range t.byService {
		for vm, r := range rows {
			if now-r.report.At > retention {
				delete(rows, vm)
			}
		}
		if len(rows) == 0 {
			delete(t.byService, service)
		}
	}
}
