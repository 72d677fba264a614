package admission

// The functions in this file limit the bytes of the bodies that a backend server holds. They handle the load pattern in which large
// uploads arrive together at a backend server that fails when their bodies exceed its memory, while requests without a body
// continue.

// fits reports whether a request with a body of n bytes may start.
func (g *Gate) fits(n int64) bool {
	return g.cfg.HeldBytes <= 0 || n == 0 || n <= g.cfg.HeldBytes-g.heldBytes
}

// startable returns the request of a queue that starts next: the first one, or the first without a body if the body of the first one
// does not fit; nil if there is none. The first one loses nothing by it: the end of a request that frees its bytes also frees a slot,
// which it then gets.
func (g *Gate) startable(q *priorityQueue) *waiter {
	if q.size == 0 {
		return nil
	}
	first := q.next()
	if g.fits(first.bytes) {
		return first
	}
	for _, w := range q.all() {
		if w.bytes == 0 {
			return w
		}
	}
	return nil
}

// mayOvertake reports whether a new request with a body of n bytes need not wait for those in the queue of its level.
func (g *Gate) mayOvertake(level int, n int64) bool {
	q := g.queues[level]
	return q.size == 0 || n == 0 && g.startable(q) == nil
}
