package pipeline

// Budget accounts for the bytes that the process holds. Its methods may be called concurrently.
type Budget interface {
	// ReserveEarly takes n bytes for work that can also be done later. It takes nothing and returns false if the process has no room.
	ReserveEarly(n int64) bool
	// Take takes n bytes also where there is no room.
	Take(n int64)
	// Release returns n bytes.
	Release(n int64)
}

// unlimited is a Budget without a limit.
type unlimited struct{}

func (unlimited) ReserveEarly(int64) bool { return true }
func (unlimited) Take(int64)              {}
func (unlimited) Release(int64)           {}

// SetBudget sets the budget for the bytes that were read ahead and the responses of requests that were started early. While it has no
// room, no request is started early. It must be called before the first connection. Default: no limit.
func (p *Pipeline) SetBudget(b Budget) { p.budget = b }

// earlyBytes is what a request that was started early holds beside its response: its header and that of the response, a recorder and
// the stack of its goroutine.
const earlyBytes = 8 << 10

// account is the bytes that one connection or recorder holds of a budget. Its owner's lock guards it.
type account struct {
	budget Budget
	n      int64
}

// set changes what is held to n bytes, also where there is no room.
func (a *account) set(n int64) {
	switch {
	case n > a.n:
		a.budget.Take(n - a.n)
	case n < a.n:
		a.budget.Release(a.n - n)
	}
	a.n = n
}

// reserve adds n bytes if there is room.
func (a *account) reserve(n int64) bool {
	if !a.budget.ReserveEarly(n) {
		return false
	}
	a.n += n
	return true
}
