package loadgen

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFigures guards against figures that are not those of their names: a worst team that is the one over its load or one of a
// few requests, waits that count as immediate refusals, and a difference without a spread that counts as clear.
func TestFigures(t *testing.T) {
	spec := &Spec{Kinds: []Kind{{Name: "k", Teams: []string{"a", "b", "few", "hot"}, Bursts: []Burst{{Team: "hot"}}}}, Targets: make([]Target, 2)}
	result := func(inTimeOfA int) *Result {
		kind := func(name string, inTime, late, refused, atOnce int) KindResult {
			ends := map[string]int{"inTime": inTime, "late": late, "refused": refused}
			return KindResult{Name: name, Ends: ends, RefusedAtOnce: atOnce, Share: float64(inTime) / float64(inTime+late+refused)}
		}
		return &Result{
			Kinds: []KindResult{kind("k", 100+inTimeOfA, 20, 80-inTimeOfA, 30)},
			Teams: []KindResult{kind("a", inTimeOfA, 0, 50-inTimeOfA, 0), kind("b", 45, 5, 0, 0), kind("few", 0, 0, 5, 5), kind("hot", 10, 0, 90, 0)},
		}
	}
	c := &Comparison{Targets: []TargetResult{{Name: "old", Rounds: []*Result{result(20), result(30)}}, {Name: "new", Rounds: []*Result{result(40), result(50)}}}}
	c.compare(spec)
	want := []Figure{
		{Name: "in time", Value: 0.625, Rounds: []float64{0.6, 0.65}},
		{Name: "served", Value: 0.725, Rounds: []float64{0.7, 0.75}},
		{Name: "worst team", Of: "a", Value: 0.5, Rounds: []float64{0.4, 0.6}},
		{Name: "worst kind", Of: "k", Value: 0.625, Rounds: []float64{0.6, 0.65}},
		{Name: "refused at once", Value: 0.15, Rounds: []float64{0.15, 0.15}},
		{Name: "refused later", Value: 0.125, Rounds: []float64{0.15, 0.1}},
	}
	assert.DeepEqual(t, c.Targets[0].Figures, want)
	assert.Equal(t, c.Targets[1].Figures[2].Of, "a")
	worst := c.Figures[2]
	assert.Assert(t, worst.Figure == "worst team" && worst.Share > 0.39 && worst.Share < 0.41 && worst.Clear, "%+v", worst)
	one := &Comparison{Targets: []TargetResult{{Rounds: []*Result{result(20)}}, {Rounds: []*Result{result(50)}}}}
	one.compare(spec)
	assert.Assert(t, !one.Figures[2].Clear && one.Figures[2].Share > 0.4)
}
