package quota

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.steps": "150", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}

// idealBucket is the test oracle: the admitted requests conform to rate and burst in every window exactly if a bucket
// that starts full and loses one token for each of them never falls below zero.
type idealBucket struct {
	limit   Limit
	level   float64
	updated time.Duration
}

func newIdealBucket(l Limit) *idealBucket {
	return &idealBucket{limit: l, level: float64(l.Burst)}
}

func (b *idealBucket) refill(now time.Duration) {
	b.level = min(b.level+b.limit.Rate*(now-b.updated).Seconds(), float64(b.limit.Burst))
	b.updated = now
}

// driftingClock maps true time to the time on one process's clock.
type driftingClock struct {
	offset time.Duration
	rate   float64
}

func (c driftingClock) at(now time.Duration) time.Duration {
	return c.offset + time.Duration(float64(now)*c.rate)
}

// envelope is a message in flight. Exactly one field is set.
type envelope struct {
	request *GrantRequest
	reply   *GrantReply
}

const fuzzProcesses = 4

// fuzzFleet is a fleet whose messages are delivered, repeated or dropped in any order and after any delay.
type fuzzFleet struct {
	now      time.Duration
	clocks   [fuzzProcesses]driftingClock
	holders  [fuzzProcesses]*Holder
	owner    *Owner
	ownerAt  int
	ideal    map[string]*idealBucket
	inFlight []envelope
	// recent holds the newest messages, which may arrive again at any time.
	recent       []envelope
	incarnations uint64
	admitted     int
}

var fuzzLimits = map[string]Limit{
	"one":   {Rate: 2, Burst: 1},
	"small": {Rate: 10, Burst: 3},
	"large": {Rate: 200, Burst: 40},
	// The refill of "eager" is so fast that a token that is counted twice shows at once.
	"eager": {Rate: 1000, Burst: 2},
}

func newFuzzFleet(t *rapid.T) *fuzzFleet {
	f := &fuzzFleet{ideal: make(map[string]*idealBucket)}
	for team, limit := range fuzzLimits {
		f.ideal[team] = newIdealBucket(limit)
	}
	for p := range f.clocks {
		f.clocks[p] = driftingClock{
			offset: time.Duration(rapid.IntRange(0, 5000).Draw(t, "offset")) * time.Millisecond,
			rate:   rapid.SampledFrom([]float64{0.99, 1, 1.01}).Draw(t, "drift"),
		}
		f.startHolder(p)
	}
	f.startOwner(0)
	return f
}

func (f *fuzzFleet) startHolder(p int) {
	f.incarnations++
	f.holders[p] = NewHolder(Config{Process: fmt.Sprintf("p%d", p), Incarnation: f.incarnations})
}

// startOwner starts a new Owner at process p. The former one no longer replies.
func (f *fuzzFleet) startOwner(p int) {
	f.ownerAt = p
	f.owner = NewOwner(Config{Start: f.clocks[p].at(f.now)})
	for team, limit := range fuzzLimits {
		f.owner.SetTeam(team, limit)
	}
}

// take sends one request of the team to a holder and compares an admission with the oracle.
func (f *fuzzFleet) take(t *rapid.T, p int, team string) {
	ok, retryAfter := f.holders[p].Take(f.clocks[p].at(f.now), team)
	f.check(t, team, ok, retryAfter)
}

// retry repeats one request that was not admitted.
func (f *fuzzFleet) retry(t *rapid.T, p int, team string) {
	ok, retryAfter := f.holders[p].Retry(f.clocks[p].at(f.now), team)
	f.check(t, team, ok, retryAfter)
}

func (f *fuzzFleet) check(t *rapid.T, team string, ok bool, retryAfter time.Duration) {
	if !ok {
		if retryAfter <= 0 {
			t.Fatalf("refused request of %s got retryAfter %v", team, retryAfter)
		}
		return
	}
	f.admitted++
	b := f.ideal[team]
	b.refill(f.now)
	b.level--
	if b.level < -1e-6 {
		t.Fatalf("team %s exceeded rate*w + burst by %.3f at %v", team, -b.level, f.now)
	}
}

func (f *fuzzFleet) send(requests []GrantRequest) {
	for _, r := range requests {
		f.post(envelope{request: &r})
	}
}

func (f *fuzzFleet) post(e envelope) {
	f.inFlight = append(f.inFlight, e)
	f.recent = append(f.recent, e)
	f.recent = f.recent[max(len(f.recent)-40, 0):]
}

func (f *fuzzFleet) deliver(e envelope) {
	if e.reply != nil {
		for p, h := range f.holders {
			if e.reply.Process == fmt.Sprintf("p%d", p) {
				h.Receive(f.clocks[p].at(f.now), *e.reply)
			}
		}
		return
	}
	reply := f.owner.Request(f.clocks[f.ownerAt].at(f.now), *e.request)
	f.post(envelope{reply: &reply})
}

// deliverAll delivers messages, and the replies that they cause, until none is left.
func (f *fuzzFleet) deliverAll() {
	for len(f.inFlight) > 0 {
		e := f.inFlight[0]
		f.inFlight = f.inFlight[1:]
		f.deliver(e)
	}
}

// TestNeverExceedsRate guards against admitting more than rate*w + burst when messages are lost, repeated, late or
// reordered, processes restart, the owner moves and clocks drift by 1%.
func TestNeverExceedsRate(t *testing.T) {
	admitted, runs := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFuzzFleet(t)
		process := rapid.IntRange(0, fuzzProcesses-1)
		team := rapid.SampledFrom([]string{"one", "small", "large", "eager"})
		pick := func(t *rapid.T) int {
			if len(f.inFlight) == 0 {
				t.Skip("no message in flight")
			}
			return rapid.IntRange(0, len(f.inFlight)-1).Draw(t, "message")
		}
		exchange := func(t *rapid.T) {
			f.deliverAll()
			for p, h := range f.holders {
				f.send(h.Poll(f.clocks[p].at(f.now)))
			}
			f.deliverAll()
		}
		t.Repeat(map[string]func(*rapid.T){
			"advance": func(t *rapid.T) {
				f.now += time.Duration(rapid.IntRange(0, 600).Draw(t, "ms")) * time.Millisecond
			},
			// Times around the end of a grant's lifetime on fast and slow clocks.
			"advanceLifetime": func(t *rapid.T) {
				f.now += DefaultLifetime + time.Duration(rapid.IntRange(-10, 10).Draw(t, "ms"))*time.Millisecond
			},
			"advanceShort": func(t *rapid.T) {
				f.now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "us")) * time.Microsecond
			},
			"take": func(t *rapid.T) {
				p, name := process.Draw(t, "process"), team.Draw(t, "team")
				for range rapid.IntRange(1, 30).Draw(t, "count") {
					f.take(t, p, name)
				}
			},
			"takeEverywhere": func(t *rapid.T) {
				name := team.Draw(t, "team")
				for i := range 15 * fuzzProcesses {
					f.take(t, i%fuzzProcesses, name)
				}
			},
			"serve": func(t *rapid.T) {
				p, name := process.Draw(t, "process"), team.Draw(t, "team")
				count := rapid.IntRange(1, 30).Draw(t, "count")
				for range count {
					f.take(t, p, name)
				}
				exchange(t)
				for range count {
					f.retry(t, p, name)
				}
			},
			"poll": func(t *rapid.T) {
				p := process.Draw(t, "process")
				f.send(f.holders[p].Poll(f.clocks[p].at(f.now)))
			},
			"exchange":      exchange,
			"exchangeAgain": exchange,
			"deliver": func(t *rapid.T) {
				i := pick(t)
				e := f.inFlight[i]
				f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
				f.deliver(e)
			},
			"replay": func(t *rapid.T) {
				for range rapid.IntRange(1, 5).Draw(t, "count") {
					if len(f.recent) > 0 {
						f.deliver(rapid.SampledFrom(f.recent).Draw(t, "message"))
					}
				}
			},
			"drop": func(t *rapid.T) {
				i := pick(t)
				f.inFlight = append(f.inFlight[:i:i], f.inFlight[i+1:]...)
			},
			// One action for all restarts, because a new owner grants nothing for one lifetime.
			"restart": func(t *rapid.T) {
				p := process.Draw(t, "process")
				switch rapid.IntRange(0, 5).Draw(t, "kind") {
				case 0:
					f.startOwner(p)
				case 1:
					f.startOwner(f.ownerAt)
				case 2, 3:
					f.startHolder(p)
				default:
					f.send(f.holders[p].Release(f.clocks[p].at(f.now)))
				}
			},
			"sweep": func(t *rapid.T) { f.owner.Sweep(f.clocks[f.ownerAt].at(f.now)) },
			"": func(t *rapid.T) {
				for name, b := range f.owner.buckets {
					if b.level+float64(b.outstanding) > float64(fuzzLimits[name].Burst)+1e-6 {
						t.Fatalf("%s: level %.3f + outstanding %d exceed the burst", name, b.level, b.outstanding)
					}
				}
			},
		})
		admitted += f.admitted
		runs++
	})
	if admitted < 10*runs {
		t.Fatalf("only %d admissions in %d runs: the test does not reach the limits", admitted, runs)
	}
	t.Logf("%d admissions in %d runs", admitted, runs)
}

// TestFastOwnerClock guards against an owner whose clock is 1% fast and that therefore refills above the rate.
// TestNeverExceedsRate rarely loads a team for long enough to show it.
func TestFastOwnerClock(t *testing.T) {
	f := &fuzzFleet{ideal: map[string]*idealBucket{"large": newIdealBucket(fuzzLimits["large"])}}
	for p := range f.clocks {
		f.clocks[p] = driftingClock{rate: 1.01}
		f.startHolder(p)
	}
	f.startOwner(0)
	b := f.ideal["large"]
	for f.now < time.Minute {
		f.now += time.Millisecond
		for p, h := range f.holders {
			if ok, _ := h.Take(f.clocks[p].at(f.now), "large"); ok {
				b.refill(f.now)
				b.level--
			}
			f.send(h.Poll(f.clocks[p].at(f.now)))
		}
		f.deliverAll()
		if b.level < -1e-6 {
			t.Fatalf("exceeded rate*w + burst by %.3f at %v", -b.level, f.now)
		}
	}
}

// TestLifetimeEdges guards against a token that its holder spends after the owner has counted it as expired. One holder
// has unspent tokens; a second one empties the bucket at a time around the end of their lifetime; then the first one
// spends.
func TestLifetimeEdges(t *testing.T) {
	const ms = time.Millisecond
	for _, delay := range []time.Duration{0, 8 * ms, 120 * ms} {
		for drainAt := 30 * ms; drainAt < 800*ms; drainAt += ms {
			// One request gets a brief grant; many get one for a full lifetime.
			for _, takes := range []int{1, 40} {
				checkLifetimeEdge(t, delay, drainAt, takes)
			}
		}
	}
}

func checkLifetimeEdge(t *testing.T, delay, drainAt time.Duration, takes int) {
	f := &fuzzFleet{ideal: map[string]*idealBucket{"eager": newIdealBucket(fuzzLimits["eager"])}}
	f.clocks = [fuzzProcesses]driftingClock{{rate: 1.01}, {rate: 0.99}, {rate: 1}, {rate: 1}}
	for p := range f.clocks {
		f.startHolder(p)
	}
	f.startOwner(0)
	f.now = time.Second
	start := f.now
	for range takes {
		f.holders[1].Take(f.clocks[1].at(f.now), "eager")
	}
	f.send(f.holders[1].Poll(f.clocks[1].at(f.now)))
	f.now += delay
	f.deliver(f.inFlight[0])
	f.now += delay
	f.deliver(f.inFlight[1])
	f.now = max(f.now, start+drainAt)
	f.holders[2].Take(f.clocks[2].at(f.now), "eager")
	f.holders[2].Take(f.clocks[2].at(f.now), "eager")
	f.inFlight = nil
	f.send(f.holders[2].Poll(f.clocks[2].at(f.now)))
	f.deliverAll()
	spent := 0
	for _, p := range []int{2, 2, 1, 1} {
		if ok, _ := f.holders[p].Retry(f.clocks[p].at(f.now), "eager"); ok {
			spent++
		}
	}
	if spent > fuzzLimits["eager"].Burst {
		t.Fatalf("delay %v, %d takes, drained after %v: %d requests at once", delay, takes, drainAt, spent)
	}
}

// TestFormerOwnersTokens guards against a new owner that extends the lifetime of tokens which only the former owner
// counted.
func TestFormerOwnersTokens(t *testing.T) {
	f := &fuzzFleet{ideal: map[string]*idealBucket{"eager": newIdealBucket(fuzzLimits["eager"])}}
	for p := range f.clocks {
		f.clocks[p] = driftingClock{rate: 1}
		f.startHolder(p)
	}
	f.startOwner(0)
	f.now = time.Second
	ask := func(p int) {
		for range 40 {
			f.holders[p].Take(f.now, "eager")
		}
		f.send(f.holders[p].Poll(f.now))
		f.deliverAll()
	}
	ask(1)
	f.startOwner(0)
	f.now += DefaultLifetime * 3 / 5
	f.send(f.holders[1].Poll(f.now))
	f.deliverAll()
	f.now += DefaultLifetime * 3 / 5
	ask(2)
	spent := 0
	for _, p := range []int{1, 1, 2, 2} {
		if ok, _ := f.holders[p].Retry(f.now, "eager"); ok {
			spent++
		}
	}
	if spent > fuzzLimits["eager"].Burst {
		t.Fatalf("%d requests at once after the owner moved", spent)
	}
}

// TestRetryAfter guards against callers that are asked to retry before a token can be available.
func TestRetryAfter(t *testing.T) {
	cases := []struct {
		desc    string
		start   time.Duration
		team    string
		atLeast time.Duration
	}{
		{"owner waits for its predecessor's tokens", time.Minute, "one", DefaultLifetime},
		{"bucket is empty", 0, "one", 450 * time.Millisecond},
		{"team is unknown", 0, "nobody", DefaultLifetime},
	}
	for _, c := range cases {
		t.Run(c.desc, func(t *testing.T) {
			o := NewOwner(Config{Start: c.start})
			o.SetTeam("one", fuzzLimits["one"])
			h := NewHolder(Config{Process: "p", Incarnation: 1})
			now := time.Minute
			for range 2 {
				h.Take(now, c.team)
			}
			for _, r := range h.Poll(now) {
				h.Receive(now, o.Request(now, r))
			}
			h.Retry(now, c.team)
			ok, retryAfter := h.Retry(now, c.team)
			if ok || retryAfter < c.atLeast || retryAfter > 2*time.Second {
				t.Fatalf("got %v after %v, want a refusal after at least %v", ok, retryAfter, c.atLeast)
			}
		})
	}
}

// TestMessagesAsJSON guards against message fields that are lost in the encoding.
func TestMessagesAsJSON(t *testing.T) {
	request := GrantRequest{"p", 3, "team", 9, 1, 2, 4, true, 5}
	reply := GrantReply{"p", 3, "team", 9, 1, 2, time.Second, true, true, true}
	var gotRequest GrantRequest
	var gotReply GrantReply
	for _, pair := range [][2]any{{request, &gotRequest}, {reply, &gotReply}} {
		data, err := json.Marshal(pair[0])
		if err != nil {
			t.Fatal(err)
		}
		if err := json.Unmarshal(data, pair[1]); err != nil {
			t.Fatal(err)
		}
	}
	if gotRequest != request || gotReply != reply {
		t.Fatalf("got %+v and %+v", gotRequest, gotReply)
	}
}
