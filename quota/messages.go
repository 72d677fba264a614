package quota

import "time"

// GrantRequest requests tokens from a team's owner. All counts are in tokens; one token admits one request.
type GrantRequest struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Team        string `json:"team"`
	// ID increases with each new request of a holder. A request that is sent again keeps its ID.
	ID uint64 `json:"id"`
	// Need is the number of requests that are waiting for a token.
	Need int `json:"need,omitempty"`
	// Spare is the number of tokens requested beyond Need, for the demand until the next request.
	Spare int `json:"spare,omitempty"`
	// Held is the number of unspent tokens that the holder has.
	Held int `json:"held,omitempty"`
	// Brief requests a grant for waiting requests only, which expires after Config.BriefLifetime.
	Brief bool `json:"brief,omitempty"`
	// Returned is the number of unspent tokens that the holder gives back with this request.
	Returned int `json:"returned,omitempty"`
}

// GrantReply is the reply to a GrantRequest.
type GrantReply struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Team        string `json:"team"`
	ID          uint64 `json:"id"`
	// Granted is the number of new tokens.
	Granted int `json:"granted,omitempty"`
	// Confirmed is the number of held tokens whose lifetime starts anew; the holder drops the others.
	Confirmed int `json:"confirmed,omitempty"`
	// RetryAfter is the time until another request is worthwhile; 0 if the request was served.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Tight asks the holder to report as soon as all tokens are spent, because outstanding tokens hold back the refill.
	Tight bool `json:"tight,omitempty"`
	// Stale marks the reply to a request that is older than the newest one; the holder ignores it.
	Stale bool `json:"stale,omitempty"`
	// Unknown marks a team that has no limit at this owner. Nothing is granted.
	Unknown bool `json:"unknown,omitempty"`
}

// Limit is a team's rate and burst over the whole fleet.
type Limit struct {
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may be admitted at once beyond the rate.
	Burst int `json:"burst"`
}
