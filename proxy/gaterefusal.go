package proxy

// logRefusal logs the refusal of a forwarded request that did not reach the gate because its body could not be read, as the gate does
// with its own. req is nil where the request was malformed. The entry gets the refusal without the load: it avoids the path to a gate
// without memory like one that fails, instead of taking its free slots for a reason to choose it.
func (h *GateHandler) logRefusal(req *Request, refusal *Refusal) {
	if g, ok := h.Gate.(*Gate); ok && req != nil {
		logged := *refusal
		g.completeRefusal(req, &logged, nil)
	}
}
