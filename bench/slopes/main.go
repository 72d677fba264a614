// Command slopes measures the memory, time and message size that each additional team, route, process, record or change
// costs a process of the fleet. It runs the real code at several sizes. docs/CAPACITY.md is calculated from its output.
package main

import (
	"fmt"
	"os"
	"runtime"
	"text/tabwriter"
	"time"
)

// row is one measurement with a number of items.
type row struct {
	item string
	size int // number of items
	// bytes is the heap that all items take.
	bytes uint64
	// cost is the mean time of one operation in one goroutine. operation names it.
	cost      time.Duration
	operation string
	// wireBytes is the size of a message in bytes.
	wireBytes int
}

func main() {
	var rows []row
	for _, measure := range []func() []row{measureTeams, measureRoutes, measureMembers, measureGrants, measureRecords, measureChanges} {
		rows = append(rows, measure()...)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	fmt.Fprintln(w, "ITEM\tSIZE\tHEAP BYTES\tBYTES EACH\tCOST\tOF\tWIRE BYTES")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%v\t%s\t%d\n",
			r.item, r.size, r.bytes, float64(r.bytes)/float64(r.size), r.cost, r.operation, r.wireBytes)
	}
	if err := w.Flush(); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

// measureHeap returns the result of build and the heap bytes that it takes, or 0 bytes if the heap shrank.
func measureHeap[T any](build func() T) (T, uint64) {
	before := heapInUse()
	result := build()
	after := heapInUse()
	if after < before {
		return result, 0
	}
	return result, after - before
}

// heapInUse returns the bytes of the heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// meanTime calls f calls times and returns the mean time of one call.
func meanTime(calls int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range calls {
		f(i)
	}
	return time.Since(start) / time.Duration(calls)
}
