package main

import (
	"flag"
	"os"
	"os/exec"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"
)

const (
	// maxRate bounds the traffic to each system in requests per second.
	maxRate = 1000
	// defaultLoad is the default traffic, as a share of the sum of the teams' rates.
	defaultLoad = 0.8
)

// settings are the values of the flags.
type settings struct {
	users     []*user
	scenarios []scenario
	duration  time.Duration // measured time of each scenario
	rate      float64       // requests per second to each system; 0 means defaultLoad
	seed      uint64
	inTime    time.Duration // longest latency that counts as in time
	examples  string
	jsonFile  string
	logFile   string // prefix of the names of log files, or ""
	args      []string
}

func parseSettings(args []string) (*settings, error) {
	s := &settings{args: args}
	flags := flag.NewFlagSet("bench", flag.ContinueOnError)
	userName := flags.String("user", "all", "glashelder, akmola or all")
	names := flags.String("scenarios", "all", "names separated by commas, or all: "+strings.Join(scenarioNames(), ","))
	seconds := flags.Float64("seconds", 20, "measured time of each scenario in seconds, 10 to 300")
	flags.Float64Var(&s.rate, "rate", 0, "requests a second to each system, at most 1000; 0 means 80% of the teams' rates")
	flags.DurationVar(&s.inTime, "in-time", time.Second, "time within which an answer counts as in time")
	flags.Uint64Var(&s.seed, "seed", 1, "seed of traffic and fault switches")
	flags.StringVar(&s.examples, "examples", "examples", "folder with the users' configuration files")
	flags.StringVar(&s.jsonFile, "json", "", "file for the JSON report; empty means standard output")
	flags.StringVar(&s.logFile, "log", "", "file for the log lines of the fleet; empty means none")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("ROSEMARYLINE_BENCH")); err != nil {
		return nil, err
	}
	if *seconds < 10 || *seconds > 300 {
		return nil, errors.Errorf("-seconds %v: want 10 to 300", *seconds)
	}
	s.duration = time.Duration(*seconds * float64(time.Second))
	if s.rate < 0 || s.rate > maxRate {
		return nil, errors.Errorf("-rate %v: want 0 to %d", s.rate, maxRate)
	}
	if s.inTime <= 0 {
		return nil, errors.Errorf("-in-time %v: want a positive time, for example 1s", s.inTime)
	}
	if err := s.chooseScenarios(*names); err != nil {
		return nil, err
	}
	return s, s.chooseUsers(*userName)
}

func (s *settings) chooseScenarios(names string) error {
	for _, sc := range scenarios {
		if names == "all" || slices.Contains(strings.Split(names, ","), sc.name) {
			s.scenarios = append(s.scenarios, sc)
		}
	}
	if names != "all" && len(s.scenarios) != len(strings.Split(names, ",")) {
		return errors.Errorf("-scenarios %q: want names among %s", names, strings.Join(scenarioNames(), ","))
	}
	return nil
}

func (s *settings) chooseUsers(name string) error {
	for _, u := range users {
		if name == "all" || name == u.name {
			s.users = append(s.users, u)
		}
	}
	if len(s.users) == 0 {
		return errors.Errorf("-user %q: want glashelder, akmola or all", name)
	}
	for _, u := range s.users {
		if err := u.load(s.examples); err != nil {
			return err
		}
	}
	return nil
}

func (s *settings) command() string { return "go run ./bench " + strings.Join(s.args, " ") }

// commit returns the commit of the working tree, with the suffix "-dirty" if tracked files differ from it. Outside of a git
// working tree it returns the value of ROSEMARYLINE_BENCH_COMMIT.
func commit() string {
	out, err := exec.Command("git", "describe", "--always", "--dirty", "--abbrev=12").Output()
	if err != nil {
		return os.Getenv("ROSEMARYLINE_BENCH_COMMIT")
	}
	return strings.TrimSpace(string(out))
}
