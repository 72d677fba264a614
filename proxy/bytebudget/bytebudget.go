// Package bytebudget accounts for the bytes of bodies and connection buffers that a process holds. It is pure: it has no clock, lock or I/O.
package bytebudget

const (
	// MinLimit is the lowest default limit in bytes. It holds some uploads of usual size also in a process that knows of little
	// memory.
	MinLimit = 8 << 20
	// limitShare is the share of the memory of a process that bodies may hold by default: 1/4.
	limitShare = 4
	// readAheadShare is the share of the limit up to which responses are read ahead: 1/2. Without it, callers that read slowly
	// would use up the room for the uploads of others.
	readAheadShare = 2
	// connShare is the share of the limit that the requests of one connection may hold: 1/4. HTTP/2 carries hundreds of requests on
	// one connection, which would use up the room of all others.
	connShare = 4
	// restShare is the share of the limit that one response may hold once its slot depends on its end: 1/4, so that two of them do not
	// take up what is for all others.
	restShare = 4
	// connsShare is the share of the limit that the buffers of connections take up at most: 1/2. Idle connections cost their callers
	// nothing, and without a bound they would leave no room for bodies.
	connsShare = 2
)

// DefaultLimit returns the limit of a process whose memory is limited to the given number of bytes.
func DefaultLimit(memory int64) int64 { return max(memory/limitShare, MinLimit) }

// Budget decides who may hold bytes. It handles the load pattern in which uploads arrive in a burst while callers and backend
// servers read slowly: new uploads are refused before they use up the memory, and what has begun continues with little.
type Budget struct {
	limit, held int64
	conns       int64 // buffers of connections
}

// New returns a Budget of limit bytes.
func New(limit int64) *Budget { return &Budget{limit: max(limit, 0)} }

// Reserve takes n bytes for new work. It takes nothing and returns false if they do not fit.
func (b *Budget) Reserve(n int64) bool { return b.reserve(n, b.limit) }

// ReserveReadAhead takes n bytes to read a response ahead of its reader. Unlike Reserve, it leaves room for new work.
func (b *Budget) ReserveReadAhead(n int64) bool { return b.reserve(n, b.limit/readAheadShare) }

// ReserveRest takes n bytes to read the rest of a response that holds responseHeld bytes. The load pattern is a few long responses whose
// callers read slowly, at a backend server that has no connection beside those of its slots.
func (b *Budget) ReserveRest(n, responseHeld int64) bool {
	return n <= b.limit/restShare-responseHeld && b.ReserveReadAhead(n)
}

func (b *Budget) reserve(n, limit int64) bool {
	// The difference cannot overflow, whatever length a caller declares.
	if n < 0 || n > limit-b.Held() {
		return false
	}
	b.held += n
	return true
}

// ReserveOnConn takes n bytes for new work of a connection that holds connHeld bytes. The first request of a connection is
// limited only by the whole budget.
func (b *Budget) ReserveOnConn(n, connHeld int64) bool {
	if connHeld > 0 && n > b.limit/connShare-connHeld {
		return false
	}
	return b.Reserve(n)
}

// Take takes n bytes that work in progress cannot do without, also above the limit.
func (b *Budget) Take(n int64) { b.held += max(n, 0) }

// Release returns n bytes.
func (b *Budget) Release(n int64) { b.held = max(b.held-max(n, 0), 0) }

// TakeConn takes n bytes for the buffers of a connection, which exist whether or not there is room. The load pattern is a burst of new
// connections: it leaves less room for bodies, but never less than half of the limit.
func (b *Budget) TakeConn(n int64) { b.conns += max(n, 0) }

// ReleaseConn returns n bytes of TakeConn.
func (b *Budget) ReleaseConn(n int64) { b.conns = max(b.conns-max(n, 0), 0) }

// Held returns the bytes held now. Buffers of connections beyond their share are left out.
func (b *Budget) Held() int64 { return b.held + min(b.conns, b.limit/connsShare) }

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }
