package proxy

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status that a response may have (RFC 9110 section 15).
const maxStatus = 599

// CheckResponseHead returns an error for a response, final or informational, whose head http.ReadResponse accepts although it is invalid.
// Nothing that such a response says can be relied upon.
func CheckResponseHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return errors.Errorf("invalid status %d", resp.StatusCode)
	}
	return checkFieldNames(resp.Header)
}

// CheckResponse returns an error for a final response that is broken: by its head, or before the end of its body. It reads up to maxBody
// bytes and leaves the rest of a longer body unread. The caller closes the body.
func CheckResponse(resp *http.Response, maxBody int64) error {
	if err := CheckResponseHead(resp); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return errors.Errorf("status %d is not a final response", resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return errors.Wrap(err, "read response body")
	}
	return errors.Wrap(checkFieldNames(resp.Trailer), "trailer")
}

// checkFieldNames returns an error if a name is not a token (RFC 9110 section 5.6.2). net/textproto lets blanks pass and does not take such
// a field for the one that its name resembles, so another reader may see another length or coding of the body. Trailer fields that were
// announced and not sent have no values and are not checked.
func checkFieldNames(fields http.Header) error {
	for name, values := range fields {
		if len(values) > 0 && !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("invalid field name %q", name)
		}
	}
	return nil
}
