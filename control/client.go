package control

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/pkg/errors"

	"rosemaryline.dev/rpc/httpresponse"
)

const (
	// clientAttempts is the number of times that a Client sends a request before it gives up.
	clientAttempts = 6
	// defaultRetryDelay is the default of Client.RetryDelay.
	defaultRetryDelay = 300 * time.Millisecond
	// maxResponseBytes limits the body of a response; a snapshot is the largest.
	maxResponseBytes = 1 << 30
)

// Client calls the operators' API.
type Client struct {
	// Addresses are the admin listeners of control VMs, as host:port or as URL. They are tried in turn until one of
	// them responds.
	Addresses []string
	// Credential is the operator's credential.
	Credential string
	// HTTP sends the requests. Default: http.DefaultClient.
	HTTP *http.Client
	// RetryDelay is the time between two attempts. Default: 300 ms.
	RetryDelay time.Duration
}

// Get reads a resource and decodes its JSON into out. Where a control VM rejects the request, the error wraps a
// *Problem.
func (c *Client) Get(ctx context.Context, path string, query url.Values, out any) error {
	if len(query) > 0 {
		path += "?" + query.Encode()
	}
	data, err := c.send(ctx, http.MethodGet, path, nil, true)
	if err != nil {
		return err
	}
	return errors.Wrapf(json.Unmarshal(data, out), "decode %s", path)
}

// GetRaw returns the body of a resource without decoding it. Where a control VM rejects the request, the error
// wraps a *Problem.
func (c *Client) GetRaw(ctx context.Context, path string) ([]byte, error) {
	return c.send(ctx, http.MethodGet, path, nil, true)
}

// Change sends a request that carries an Envelope. It sends the request again if the response is lost, which is safe
// because of its change id. Errors are of type *Problem, or *UnknownError if it is not known whether the change was
// accepted.
func (c *Client) Change(ctx context.Context, path string, request any) (ChangeReply, error) {
	return c.post(ctx, path, request, true)
}

// PostOnce sends a request without a change id. It does not repeat the request if the response is lost.
func (c *Client) PostOnce(ctx context.Context, path string, request any) (ChangeReply, error) {
	return c.post(ctx, path, request, false)
}

func (c *Client) post(ctx context.Context, path string, request any, repeatable bool) (ChangeReply, error) {
	body, err := json.Marshal(request)
	if err != nil {
		return ChangeReply{}, errors.Wrapf(err, "encode %s", path)
	}
	data, err := c.send(ctx, http.MethodPost, path, body, repeatable)
	if err != nil {
		return ChangeReply{}, err
	}
	var reply ChangeReply
	if err := json.Unmarshal(data, &reply); err != nil {
		return ChangeReply{}, &UnknownError{Err: errors.Wrapf(err, "decode %s", path)}
	}
	return reply, nil
}

// send tries the addresses in turn. Once a process has named the leader, the next attempt goes to the leader. A request
// that may have run is repeated only if it is repeatable.
func (c *Client) send(ctx context.Context, method, path string, body []byte, repeatable bool) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("no admin address is set")
	}
	leader, previous, unknown := "", "", false
	var last error
	for attempt := range clientAttempts {
		address := cmp.Or(leader, c.Addresses[attempt%len(c.Addresses)])
		// A process that is named as the leader is tried at once, unless it was also the last one tried.
		if attempt > 0 && (leader == "" || leader == previous) && c.wait(ctx) != nil {
			break
		}
		previous = address
		data, err := c.sendOnce(ctx, address, method, path, body)
		if err == nil {
			return data, nil
		}
		failure := classify(err)
		if failure.permanent {
			return nil, err
		}
		last, leader = err, failure.leader
		unknown = unknown || failure.mayHaveRun && method == http.MethodPost
		if unknown && !repeatable {
			break
		}
	}
	if unknown {
		return nil, &UnknownError{Err: last}
	}
	return nil, last
}

func (c *Client) wait(ctx context.Context) error {
	timer := time.NewTimer(cmp.Or(c.RetryDelay, defaultRetryDelay))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) sendOnce(ctx context.Context, address, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, baseURL(address)+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrapf(err, "create request to %s", address)
	}
	request.Header.Set("Authorization", "Bearer "+c.Credential)
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	httpClient := c.HTTP
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	response, err := httpClient.Do(request)
	if err != nil {
		return nil, errors.Wrapf(err, "%s %s at %s", method, path, address)
	}
	defer response.Body.Close()
	data, err := readResponse(response)
	if err != nil {
		return nil, errors.Wrapf(err, "read response from %s", address)
	}
	if response.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, errors.Wrapf(decodeProblem(response, data), "response from %s", address)
}

// readResponse returns the body of a response, or an error if the response is broken. The API states the length of each body, or sends it
// in chunks: without either, a part could not be told from the whole.
func readResponse(response *http.Response) ([]byte, error) {
	if err := httpresponse.CheckFinal(response); err != nil {
		return nil, err
	}
	if httpresponse.IsCloseDelimited(response) {
		return nil, errors.New("response has no length")
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	return data, httpresponse.CheckTrailer(response)
}

// decodeProblem returns the problem document in a response. For a response without one, for example from a process
// without the control role, it returns a ProblemBadRequest with the status line and the start of the body.
func decodeProblem(response *http.Response, data []byte) *Problem {
	p := &Problem{}
	if err := json.Unmarshal(data, p); err == nil && p.Code != "" {
		return p
	}
	return newProblem(response.StatusCode, ProblemBadRequest, response.Status+": "+strings.TrimSpace(string(data[:min(len(data), 200)])))
}

func baseURL(address string) string {
	if strings.Contains(address, "://") {
		return strings.TrimSuffix(address, "/")
	}
	return "http://" + address
}
