package quota

import "time"

// GrantRequest asks a team's owner for tokens. All counts are in tokens; one token admits one request.
type GrantRequest struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Team        string `json:"team"`
	// ID grows with each new request of a holder. A request that is sent again keeps its ID.
	ID uint64 `json:"id"`
	// Need is the number of requests that wait for a token now.
	Need int `json:"need,omitempty"`
	// Spare is the number of tokens wanted beyond Need for the demand until the next request.
	Spare int `json:"spare,omitempty"`
	// Held is the number of unspent tokens that the holder keeps.
	Held int `json:"held,omitempty"`
	// Brief asks for a grant that lasts Config.NeedLifetime, for requests that wait.
	Brief bool `json:"brief,omitempty"`
	// Returned is the number of unspent tokens that the holder gave up with this request.
	Returned int `json:"returned,omitempty"`
}

// GrantReply answers a GrantRequest.
type GrantReply struct {
	Process     string `json:"process"`
	Incarnation uint64 `json:"incarnation"`
	Team        string `json:"team"`
	ID          uint64 `json:"id"`
	// Granted is the number of new tokens.
	Granted int `json:"granted,omitempty"`
	// Confirmed is the number of held tokens whose lifetime starts again; the holder drops the others.
	Confirmed int `json:"confirmed,omitempty"`
	// RetryAfter is the time until another request is worthwhile; 0 where nothing was missing.
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	// Tight asks the holder to report spent tokens at once, because they hold back the refill.
	Tight bool `json:"tight,omitempty"`
	// Stale marks the answer to a request that is older than the last one; the holder ignores it.
	Stale bool `json:"stale,omitempty"`
	// Unknown marks a team without a limit at this owner. Nothing is granted.
	Unknown bool `json:"unknown,omitempty"`
}

// Limit is a team's rate and burst over the whole fleet.
type Limit struct {
	// Rate is in requests a second.
	Rate float64 `json:"rate"`
	// Burst is the number of requests that may exceed the rate at once.
	Burst int `json:"burst"`
}
