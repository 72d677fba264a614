package routing

import "net/http"

// RetryAnswer tells whether an answer of a backend server should be replaced by that of another one. It answers gray
// failures of requests that may be repeated: a backend server that fails most requests is no worse than one that is
// gone. The caller keeps the answer, for when no other attempt does better.
func RetryAnswer(status int, repeatable bool) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return repeatable
	default:
		return false
	}
}
