// Package httpresponse finds broken HTTP/1.1 responses that net/http lets pass. Each place that reads responses uses it, because nothing
// that a broken response says can be relied upon: neither its status, nor where its body ends.
package httpresponse

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// maxStatus is the highest status that a response may have (RFC 9110 section 15).
const maxStatus = 599

// CheckHead returns an error for a response, final or informational, whose status or header is invalid.
func CheckHead(resp *http.Response) error {
	if resp.StatusCode < http.StatusContinue || resp.StatusCode > maxStatus {
		return errors.Errorf("invalid status %03d", resp.StatusCode)
	}
	return checkFieldNames(resp.Header)
}

// CheckFinal returns an error for a response that is invalid by its head or not a final one.
func CheckFinal(resp *http.Response) error {
	if err := CheckHead(resp); err != nil {
		return err
	}
	if resp.StatusCode < http.StatusOK {
		return errors.Errorf("status %d is not a final response", resp.StatusCode)
	}
	return nil
}

// CheckTrailer returns an error for a response with an invalid trailer. It must be called after the body was read to its end.
func CheckTrailer(resp *http.Response) error {
	return errors.Wrap(checkFieldNames(resp.Trailer), "trailer")
}

// IsCloseDelimited reports whether only the end of the connection marks the end of the response's body (RFC 9112 section 6.3, item 8). It is
// false for HTTP/2, whose frames mark the end, and for a body that http.Transport decompresses, which notices a missing end. resp.Request
// must be set.
func IsCloseDelimited(resp *http.Response) bool {
	return resp.ProtoMajor == 1 && resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed &&
		resp.Request.Method != http.MethodHead
}

// Check returns an error for a final response that is broken: by its head, or before the end of its body. It reads up to maxBody bytes and
// leaves the rest of a longer body unread. The caller closes the body.
func Check(resp *http.Response, maxBody int64) error {
	if err := CheckFinal(resp); err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBody)); err != nil {
		return errors.Wrap(err, "read response body")
	}
	return CheckTrailer(resp)
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
