// Command slopes measures what one more team, route, process, record or change costs a process of the fleet, with the
// real code at several sizes. docs/CAPACITY.md is worked out from its output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"
)

// row is one measurement: the cost of size items.
type row struct {
	item string
	size int
	// bytes is the heap of all items.
	bytes uint64
	// cost is the processor time of one operation; what it does is in op.
	cost time.Duration
	op   string
	// wire is the size of a message in bytes.
	wire int
}

func main() {
	var rows []row
	for _, measure := range []func() []row{teams, routes, members, grants, records, changes} {
		rows = append(rows, measure()...)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ITEM\tSIZE\tHEAP BYTES\tBYTES EACH\tCOST\tOF\tWIRE BYTES")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%v\t%s\t%d\n",
			r.item, r.size, r.bytes, float64(r.bytes)/float64(r.size), r.cost, r.op, r.wire)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// heapOf returns the heap that build's result holds.
func heapOf[T any](build func() T) (T, uint64) {
	before := heap()
	result := build()
	after := heap()
	if after < before {
		return result, 0
	}
	return result, after - before
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// timeOf returns the mean time of one call of f.
func timeOf(calls int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range calls {
		f(i)
	}
	return time.Since(start) / time.Duration(calls)
}
