package processfleet

import (
	"bytes"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

const (
	// StopTimeout is the time after SIGTERM after which a process that still runs is killed.
	StopTimeout = 15 * time.Second
	// clockTicks is the number of ticks per second in which /proc counts processor time.
	clockTicks = 100
	// keptErrorOutput is the number of bytes of a process's standard error that are kept for the error of its end.
	keptErrorOutput = 1000
)

// ChildOptions describes a child process.
type ChildOptions struct {
	// Name is the name of the process in errors.
	Name    string
	Command []string
	// Env has additional environment variables.
	Env []string
	// OnExit is called with an error when the process ends before Stop or Kill; nil: the end is ignored.
	OnExit func(error)
}

// Child is a child process, which is awaited from its start on.
type Child struct {
	opts     ChildOptions
	cmd      *exec.Cmd
	output   tail
	stopping atomic.Bool
	done     chan struct{} // closed when the process has ended
}

// StartChild starts a process. Its standard error is passed on.
func StartChild(o ChildOptions) (*Child, error) {
	c := &Child{opts: o, cmd: exec.Command(o.Command[0], o.Command[1:]...), done: make(chan struct{})}
	c.cmd.Stderr = &c.output
	if len(o.Env) > 0 {
		c.cmd.Env = append(os.Environ(), o.Env...)
	}
	if err := c.cmd.Start(); err != nil {
		return nil, errors.Wrapf(err, "start %s", o.Name)
	}
	go c.wait()
	return c, nil
}

func (c *Child) wait() {
	err := c.cmd.Wait()
	close(c.done)
	if c.stopping.Load() || c.opts.OnExit == nil {
		return
	}
	reason := "exit status 0"
	if err != nil {
		reason = err.Error()
	}
	if output := c.output.String(); output != "" {
		reason += ", last output: " + output
	}
	c.opts.OnExit(errors.Errorf("process %s ended during the measurement: %s", c.opts.Name, reason))
}

// Kill kills the process and waits for its end.
func (c *Child) Kill() {
	c.stopping.Store(true)
	// Kill fails only if the process has already ended.
	_ = c.cmd.Process.Kill()
	<-c.done
}

// Stop ends the process with SIGTERM, and kills it after StopTimeout.
func (c *Child) Stop() {
	c.stopping.Store(true)
	// Signal fails only if the process has already ended.
	_ = c.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-c.done:
	case <-time.After(StopTimeout):
		c.Kill()
	}
}

// Usage is the resource usage of a process as the kernel counts it.
type Usage struct {
	CPU time.Duration // user and system time
	RSS uint64        // resident memory in bytes
}

// Usage returns the resource usage of the process.
func (c *Child) Usage() (Usage, error) { return UsageOf(c.cmd.Process.Pid) }

// UsageOf reads the usage of a process from /proc.
func UsageOf(pid int) (Usage, error) {
	stat, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	if err != nil {
		return Usage{}, err
	}
	// The command name ends with the last closing parenthesis. The first field after it is the state, so the indexes below
	// are those of utime, stime and rss.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	var numbers [3]uint64
	for i, field := range []int{11, 12, 21} {
		if numbers[i], err = strconv.ParseUint(fields[field], 10, 64); err != nil {
			return Usage{}, err
		}
	}
	ticks := time.Duration(numbers[0] + numbers[1])
	return Usage{CPU: ticks * time.Second / clockTicks, RSS: numbers[2] * uint64(os.Getpagesize())}, nil
}

// tail passes what is written to it on to standard error and keeps the end of it.
type tail struct {
	mu   sync.Mutex // guards kept
	kept []byte
}

// Write implements io.Writer.
func (t *tail) Write(p []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.kept = append(t.kept, p...)
	t.kept = t.kept[max(0, len(t.kept)-keptErrorOutput):]
	return os.Stderr.Write(p)
}

func (t *tail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(bytes.TrimSpace(t.kept))
}
