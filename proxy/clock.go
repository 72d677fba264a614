package proxy

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since the start of the process. It includes the time for which the VM was suspended, so that no lease,
// grant or permission that another process has let expire meanwhile is used after it.
type Clock func() time.Duration

// distantPast is a time before every event.
const distantPast = time.Duration(-1 << 62)

// suspensionCheckInterval is the time on the monotonic clock between two looks at the time for which the VM was suspended.
const suspensionCheckInterval = time.Millisecond

// NewClock returns a Clock that starts now.
func NewClock() Clock {
	start := time.Now()
	return newClock(func() time.Duration { return time.Since(start) }, bootTime)
}

// newClock combines a monotonic clock, which is cheap to read and stops while the VM is suspended, with a clock that does not
// stop. The result never falls behind the first by more than suspensionCheckInterval, and never decreases.
func newClock(monotonic, boot func() time.Duration) Clock {
	began := boot() - monotonic()
	var suspended, checkedAt atomic.Int64
	return func() time.Duration {
		now := monotonic()
		if last := checkedAt.Load(); now-time.Duration(last) >= suspensionCheckInterval && checkedAt.CompareAndSwap(last, int64(now)) {
			total := int64(boot() - now - began)
			for old := suspended.Load(); total > old && !suspended.CompareAndSwap(old, total); old = suspended.Load() {
			}
		}
		return now + time.Duration(suspended.Load())
	}
}

// bootTime returns the time since the system started, with the time for which it was suspended.
func bootTime() time.Duration {
	var t unix.Timespec
	// clock_gettime fails only for a clock that does not exist.
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return time.Duration(t.Nano())
}
