package proxy

import (
	"net/http"

	"github.com/pkg/errors"
)

// maxStatus is the highest status that a response may have (RFC 9110 section 15).
const maxStatus = 599

// CheckResponseHead returns an error for a response, final or informational, whose head http.ReadResponse accepts although it is invalid.
// Nothing that such a response says can be relied upon.
func CheckResponseHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return errors.Errorf("invalid status %d", resp.StatusCode)
	}
	return nil
}
