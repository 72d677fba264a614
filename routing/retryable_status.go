package routing

import "net/http"

// RetryableStatus reports whether a response with this HTTP status should be replaced by that of a retry at another
// backend server. repeatable is whether the request may run more than once. Such retries limit the effect of a gray
// failure: a backend server that fails most requests then does no more harm than one that cannot be reached. The caller
// keeps the response and returns it if no retry succeeds.
func RetryableStatus(status int, repeatable bool) bool {
	switch status {
	case http.StatusInternalServerError, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return repeatable
	default:
		return false
	}
}
