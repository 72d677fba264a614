package state

// maxWithdrawn limits the withdrawn keys that are kept because a configuration file may still list them.
const maxWithdrawn = 10_000

// withdrawnKeys holds the keys of the configuration document that were withdrawn by command, so that applying the
// unchanged file does not bring them back. The oldest is dropped first.
type withdrawnKeys struct {
	order []string
	set   map[string]bool
}

func (w *withdrawnKeys) add(hash string) {
	if w.set == nil {
		w.set = map[string]bool{}
	}
	if w.set[hash] {
		return
	}
	w.set[hash] = true
	w.order = append(w.order, hash)
	if len(w.order) > maxWithdrawn {
		delete(w.set, w.order[0])
		w.order = w.order[1:]
	}
}

func (w *withdrawnKeys) has(hash string) bool { return w.set[hash] }
