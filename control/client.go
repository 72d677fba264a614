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
)

const (
	// clientAttempts is how often a Client tries before it gives up.
	clientAttempts = 6
	// defaultPause is the time between two attempts.
	defaultPause = 300 * time.Millisecond
	// maxReply bounds an answer.
	maxReply = 1 << 30
)

// Client calls the operators' API.
type Client struct {
	// Addresses are admin listeners of control VMs, as host:port or as URL. The first that answers is used.
	Addresses []string
	// Credential is the operator's credential.
	Credential string
	// HTTP sends requests. Default http.DefaultClient.
	HTTP *http.Client
	// Pause is the time between two attempts. Default 300 ms.
	Pause time.Duration
}

// Get reads a resource into out.
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

// GetRaw reads a resource as it is.
func (c *Client) GetRaw(ctx context.Context, path string) ([]byte, error) {
	return c.send(ctx, http.MethodGet, path, nil, true)
}

// Change sends a request that carries an Envelope. It is sent again after a lost answer, which its change id makes
// safe. Errors are of type *Problem, or *UnknownError where it is not known whether the change was accepted.
func (c *Client) Change(ctx context.Context, path string, request any) (ChangeReply, error) {
	return c.post(ctx, path, request, true)
}

// PostOnce sends a request without change id, which must not be repeated after a lost answer.
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
	return reply, errors.Wrapf(json.Unmarshal(data, &reply), "decode %s", path)
}

// send tries the addresses in turn, and the leader's first once it is known.
func (c *Client) send(ctx context.Context, method, path string, body []byte, repeatable bool) ([]byte, error) {
	if len(c.Addresses) == 0 {
		return nil, errors.New("no admin address is set")
	}
	leader, asked, unknown := "", "", false
	var last error
	for attempt := range clientAttempts {
		address := cmp.Or(leader, c.Addresses[attempt%len(c.Addresses)])
		// A process that names the leader is no reason to wait, unless it names the one that was just asked.
		if attempt > 0 && (leader == "" || leader == asked) && c.wait(ctx) != nil {
			break
		}
		asked = address
		data, err := c.sendOnce(ctx, address, method, path, body)
		if err == nil {
			return data, nil
		}
		failure := classify(err)
		if failure.final {
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
	timer := time.NewTimer(cmp.Or(c.Pause, defaultPause))
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
		return nil, errors.Wrapf(err, "request to %s", address)
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
	data, err := io.ReadAll(io.LimitReader(response.Body, maxReply))
	if err != nil {
		return nil, errors.Wrapf(err, "read answer of %s", address)
	}
	if response.StatusCode == http.StatusOK {
		return data, nil
	}
	return nil, errors.Wrapf(decodeProblem(response, data), "answer of %s", address)
}

// decodeProblem also makes a problem of an answer that is none, for example of a process without the control role.
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
