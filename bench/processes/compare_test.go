package main

import (
	"bytes"
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a ratio of medians, in which a change of the machine's load between two pairs of runs would show as a
// difference of the builds, and against a ratio to nothing.
func TestRatioIsTakenWithinPairsOfRuns(t *testing.T) {
	run := func(rate, failed float64) speedResult {
		r := speedResult{}
		r.set("rate", "req/s", rate)
		r.add(failedRequests, "", failed)
		r.add(failedRequests, "", 1)
		return r
	}
	// The ratios of the pairs are 1, 2 and 3; that of the medians is 1.
	daemons := []speedResult{run(300, 0), run(600, 0), run(150, 0)}
	baselines := []speedResult{run(300, 1), run(300, -1), run(50, 0)}
	list := compare(daemons, baselines)
	assert.Equal(t, len(list), 2)
	assert.Equal(t, list[0].Name, failedRequests)
	assert.DeepEqual(t, list[0].Baseline, []float64{2, 0, 1})
	assert.Assert(t, list[0].Ratio == nil)
	assert.Equal(t, *list[1].Ratio, 2.0)

	var out bytes.Buffer
	assert.NilError(t, printComparisons(&out, list, true))
	var read []comparison
	assert.NilError(t, json.Unmarshal(out.Bytes(), &read))
	assert.DeepEqual(t, read, list)
	assert.Assert(t, compare(daemons, nil)[1].Ratio == nil)
}
