package node

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

// Guards against a lost dependency that is not logged, and against a log line for each failure.
func TestDependenciesLogLossAndReturnOnce(t *testing.T) {
	var out bytes.Buffer
	now := time.Duration(0)
	d := newDependencies(func() time.Duration { return now }, &log.Logger{Writer: log.IOWriter{Writer: &out}})
	d.recordResult(roleControl, "a", nil)
	for range 5 {
		d.recordResult(roleControl, "a", errors.New("refused"))
	}
	d.recordResult(roleRateOwner, "a", nil)
	now = 3 * time.Second
	d.recordResult(roleControl, "a", nil)
	d.recordResult(roleControl, "a", nil)
	type line struct {
		Message, Role, Peer, Error string
		Lost                       float64
		Failures                   int
	}
	var lines []line
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var l line
		assert.NilError(t, decoder.Decode(&l))
		lines = append(lines, l)
	}
	assert.DeepEqual(t, lines, []line{
		{Message: "node: dependency does not reply.", Role: "control", Peer: "a", Error: "refused"},
		{Message: "node: dependency replies again.", Role: "control", Peer: "a", Lost: 3000, Failures: 5},
	})
}
