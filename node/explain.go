package node

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"rosemaryline.dev/control"
	"rosemaryline.dev/proxy"
)

const (
	methodExplain = "entry.explain"
	// explainTimeout limits the request for the explanation of another VM, for which an operator waits.
	explainTimeout = 2 * time.Second
)

// explain returns the candidates for a request as the entry of this process sees them.
func (n *Node) explain(q control.ExplainQuery) []control.Candidate {
	var list []control.Candidate
	share, limited := n.entry.Share(q.Service, q.Route, q.Team)
	for _, e := range n.entry.ExplainRequest(proxy.ExplainQuery{Service: q.Service, Route: q.Route, Repeatable: q.Repeatable}) {
		c := control.Candidate{
			VM: e.VM, Domain: e.Domain, Capacity: e.Capacity, InFlight: e.InFlight, Queued: e.Queued,
			State: e.State.String(), Reason: e.Reason,
		}
		if limited {
			c.Share = &share
		}
		if e.Work.Cost > 0 {
			c.Work = &control.CandidateWork{
				StartMs: millis(e.ExpectedStart()), Speed: e.ExpectedSpeed(), CostMs: millis(e.Work.Cost),
				CompletionMs: millis(e.ExpectedCompletion()), Reported: e.Work.Speed > 0, AgeMs: millis(e.Work.Age),
			}
		}
		list = append(list, c)
	}
	return list
}

func millis(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}

func (n *Node) serveExplain(_ context.Context, _ string, q control.ExplainQuery) ([]control.Candidate, error) {
	return n.explain(q), nil
}

// Explain implements control.Explainer. It asks the process of another VM if the query names one.
func (c *controlRole) Explain(ctx context.Context, q control.ExplainQuery) ([]control.Candidate, error) {
	if q.VM == "" || q.VM == c.node.opts.Name {
		return c.node.explain(q), nil
	}
	member, ok := c.node.gossip.member(q.VM)
	if !ok {
		return nil, &control.Problem{Status: http.StatusNotFound, Title: http.StatusText(http.StatusNotFound),
			Detail: fmt.Sprintf("no VM %q is in the fleet", q.VM), Code: control.ProblemNotFound}
	}
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	var list []control.Candidate
	if err := c.node.client.Call(ctx, member.Address, methodExplain, q, &list); err != nil {
		return nil, &control.Problem{Status: http.StatusServiceUnavailable, Title: http.StatusText(http.StatusServiceUnavailable),
			Detail: fmt.Sprintf("VM %q did not explain the request, or runs an older build: %v", q.VM, err), Code: control.ProblemUnavailable}
	}
	return list, nil
}
