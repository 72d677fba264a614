package loadgen

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/bench/processfleet"
)

// readyPollInterval is the time between two checks whether a target is ready.
const readyPollInterval = 100 * time.Millisecond

// Comparison is the result of an experiment.
type Comparison struct {
	Seed    uint64         `json:"seed"`
	Targets []TargetResult `json:"targets"`
	// Kinds compares targets by kind of request, Figures by figure.
	Kinds   []Difference `json:"differences"`
	Figures []Difference `json:"figureDifferences"`
}

// TargetResult holds the rounds of one target.
type TargetResult struct {
	Name string `json:"name"`
	// Figures sum up all rounds.
	Figures []Figure  `json:"figures"`
	Rounds  []*Result `json:"rounds"`
}

// Difference compares a target with another one.
type Difference struct {
	Target  string `json:"target"`
	Against string `json:"against"`
	// Kind or Figure is what is compared. For a kind of request it is the mean share of responses in time.
	Kind   string `json:"request,omitempty"`
	Figure string `json:"figure,omitempty"`
	// Share is the value of the target, less that of the other one.
	Share float64 `json:"share"`
	// Spread is the larger range of the values between the rounds of one of the two targets. A smaller difference says nothing.
	Spread float64 `json:"spread"`
	// Clear is true if there is more than one round and the difference exceeds the spread.
	Clear bool `json:"clear"`
}

// Compare measures each target Spec.Rounds times, one after the other in alternating order. progress is called with the
// target and round, and as for Run.
func (s *Spec) Compare(ctx context.Context, progress func(target string, round int, at time.Duration, sent, ended int)) (*Comparison, error) {
	c := &Comparison{Seed: s.Seed}
	for i := range s.Targets {
		c.Targets = append(c.Targets, TargetResult{Name: s.Targets[i].Name})
	}
	for round := range s.Rounds {
		for i := range s.Targets {
			if round%2 == 1 {
				i = len(s.Targets) - 1 - i
			}
			target := &s.Targets[i]
			result, err := s.measure(ctx, i, func(at time.Duration, sent, ended int) { progress(target.Name, round+1, at, sent, ended) })
			if err != nil {
				return nil, errors.Wrapf(err, "target %s, round %d", target.Name, round+1)
			}
			c.Targets[i].Rounds = append(c.Targets[i].Rounds, result)
		}
	}
	c.compare(s)
	return c, nil
}

// measure starts the target, runs the load and stops the target. It ends early with the error of a process that ends.
func (s *Spec) measure(ctx context.Context, i int, progress func(at time.Duration, sent, ended int)) (*Result, error) {
	progress(0, 0, 0)
	t := &s.Targets[i]
	if s.Fleet != nil {
		return s.measureFleet(ctx, i, progress)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if len(t.Command) > 0 {
		child, err := processfleet.StartChild(processfleet.ChildOptions{Name: t.Command[0], Command: t.Command, OnExit: cancel})
		if err != nil {
			return nil, err
		}
		defer child.Stop()
	}
	if err := t.waitReady(ctx); err != nil {
		return nil, causeOr(ctx, err)
	}
	return s.Run(ctx, []string{t.URL}, s.Keys, progress)
}

// causeOr returns why ctx ended, or err if it has not.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}

func (t *Target) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, t.ReadyTimeout)
	defer cancel()
	address := t.Ready
	if address == "" {
		address = t.URL
	}
	last := errors.New("no response")
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
			if t.Ready == "" || resp.StatusCode == http.StatusOK {
				return nil
			}
			err = errors.Errorf("status %d", resp.StatusCode)
		}
		if ctx.Err() == nil {
			last = err
		}
		if !sleepUntil(ctx, time.Now().Add(readyPollInterval)) {
			return errors.Wrapf(last, "%s is not ready after %s", address, t.ReadyTimeout)
		}
	}
}

// compare sets the figures and the differences between targets.
func (c *Comparison) compare(s *Spec) {
	for i := range c.Targets {
		c.Targets[i].Figures = s.figures(c.Targets[i].Rounds)
	}
	for i := range s.Targets {
		against := s.Targets[i].against
		if against == nil && i > 0 {
			against = []int{0}
		}
		for _, j := range against {
			c.compareTargets(&c.Targets[j], &c.Targets[i])
		}
	}
}

func (c *Comparison) compareTargets(base, other *TargetResult) {
	difference := func(from, to float64, fromRounds, toRounds []float64) Difference {
		d := Difference{Target: other.Name, Against: base.Name, Share: to - from, Spread: max(spread(fromRounds), spread(toRounds))}
		d.Clear = len(fromRounds) > 1 && math.Abs(d.Share) > d.Spread
		return d
	}
	for kind := range base.Rounds[0].Kinds {
		from, to := base.shares(kind), other.shares(kind)
		d := difference(mean(from), mean(to), from, to)
		d.Kind = base.Rounds[0].Kinds[kind].Name
		c.Kinds = append(c.Kinds, d)
	}
	for n := range base.Figures {
		from, to := &base.Figures[n], &other.Figures[n]
		d := difference(from.Value, to.Value, from.Rounds, to.Rounds)
		d.Figure = from.Name
		c.Figures = append(c.Figures, d)
	}
}

// addBaseline adds to each target the same one with another build, with which it is compared. Targets with different settings are
// compared within each build.
func (s *Spec) addBaseline(daemon string) {
	var targets []Target
	for i, t := range s.Targets {
		former := t
		former.Name, former.Daemon = t.Name+" (baseline)", daemon
		t.against = []int{2 * i}
		if i > 0 {
			former.against = []int{0}
			t.against = append(t.against, 1)
		}
		targets = append(targets, former, t)
	}
	s.Targets = targets
}

func (t *TargetResult) shares(kind int) []float64 {
	var shares []float64
	for _, r := range t.Rounds {
		shares = append(shares, r.Kinds[kind].Share)
	}
	return shares
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(max(len(values), 1))
}

func spread(values []float64) float64 {
	low, high := math.Inf(1), math.Inf(-1)
	for _, v := range values {
		low, high = min(low, v), max(high, v)
	}
	return max(high-low, 0)
}
