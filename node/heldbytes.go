package node

import (
	"math"
	"runtime/debug"
	"syscall"

	"rosemaryline.dev/proxy/bytebudget"
)

// heldBytes returns the limit of the bytes of bodies that the process holds.
func (o *Options) heldBytes() int64 {
	if o.HeldBytes > 0 {
		return o.HeldBytes
	}
	return bytebudget.DefaultLimit(memoryLimit())
}

// memoryLimit returns the memory limit of the process in bytes, or the memory of the machine where none is set; 0 if neither is
// known.
func memoryLimit() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit
	}
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return int64(info.Totalram) * int64(info.Unit)
}
