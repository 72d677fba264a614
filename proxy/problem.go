package proxy

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"rosemaryline.dev/admission"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type      string  `json:"type"`
	Title     string  `json:"title"`
	Status    int     `json:"status"`
	Detail    string  `json:"detail,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Reason    Reason  `json:"reason"`
	RequestID string  `json:"requestId,omitempty"`
}

// titles explain each reason to a caller in one line.
var titles = map[Reason]string{
	ReasonNoRoute:       "No route matches the request.",
	ReasonBadKey:        "The key is missing, unknown or withdrawn.",
	ReasonForbidden:     "The route is not open to this team.",
	ReasonOverRate:      "The team is over its rate.",
	ReasonNoCapacity:    "No backend server has capacity.",
	ReasonQueueFull:     "The queue is full.",
	ReasonDeadline:      "The deadline passed.",
	ReasonLeaving:       "The process is stopping.",
	ReasonDraining:      "The backend server is draining.",
	ReasonDomainOut:     "The failure domain is taken out.",
	ReasonEjected:       "The backend server is ejected.",
	ReasonIsolated:      "The process is cut off from the fleet.",
	ReasonNoState:       "The process has no fleet state yet.",
	ReasonNoRecords:     "The record of the idempotency key cannot be reached.",
	ReasonRunning:       "A request with this idempotency key is still running.",
	ReasonLost:          "A request with this idempotency key began and its outcome is lost.",
	ReasonKeyReused:     "The idempotency key was used with another request.",
	ReasonBodyTooLarge:  "The body is too large.",
	ReasonBadRequest:    "The request is malformed.",
	ReasonUnreachable:   "The backend server cannot be reached.",
	ReasonBrokenAnswer:  "The backend server broke the connection.",
	ReasonWrongAnswer:   "The answer belongs to another request.",
	ReasonRetryBudget:   "The retry budget is used up.",
	ReasonCallerGone:    "The caller closed the connection.",
	ReasonShed:          "The backend server is full.",
	ReasonOtherInstance: "Another backend server has the address.",
	ReasonSuspect:       "The backend server failed a request a moment ago.",
	ReasonFaulty:        "The backend server failed several requests a moment ago.",
	ReasonFailed:        "The backend server failed the request.",
	ReasonExposure:      "The new version had as many requests as its rollout allows for now.",
	ReasonVersion:       "The version of the backend server gets no requests.",
	ReasonPathSilent:    "The path to the VM is silent.",
	ReasonMemory:        "The process holds too many bytes of other requests.",
	ReasonBodyStalled:   "The body did not arrive in time.",
	ReasonAnswerNotKept: "The request completed earlier; its answer was too large to keep.",

	Reason(admission.ReasonTeamShare): "The team's share of the queue is full.",
	Reason(admission.ReasonFull):      "The backend server has no free slot.",
	Reason(admission.ReasonMaxWait):   "The request waited too long for a slot.",
	Reason(admission.ReasonHopeless):  "The request could not be answered in time.",
	Reason(admission.ReasonNested):    "The nested call is too deep for the service.",
	Reason(admission.ReasonLost):      "The backend server is lost.",
	Reason(admission.ReasonDisplaced): "The request made room for a team with fewer requests in the queue.",
}

// writeRefusal writes a refusal to a caller. The cause is only logged, because it may contain addresses inside the
// fleet.
func writeRefusal(w http.ResponseWriter, d Dialect, id string, r *Refusal) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Cache-Control", "no-store")
	h.Set(HeaderOutcome, string(r.Outcome))
	if id != "" {
		d.ToCaller(h, id)
	}
	if r.RetryAfter > 0 {
		h.Set("Retry-After", d.RetryAfter(r.RetryAfter))
	}
	if r.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(r.Status)
	body := problem{
		Type:      "about:blank",
		Title:     titles[r.Reason],
		Status:    r.Status,
		Outcome:   r.Outcome,
		Reason:    r.Reason,
		RequestID: id,
	}
	// A failed write means that the caller closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

// retryAfterSeconds returns a duration in whole seconds, rounded up, as the Retry-After header needs it.
func retryAfterSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
