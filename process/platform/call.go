package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxAnswerBytes bounds the answer to a list or a watch.
	maxAnswerBytes = 64 << 20
	// defaultRetryAfter stands in for a Retry-After that is not given.
	defaultRetryAfter = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleConnections bounds the connections that a client keeps open.
	idleConnections = 4
	// idleTimeout is how long a connection without a call is kept.
	idleTimeout = 90 * time.Second
)

// call is one call of the object API.
type call struct {
	kind      kind
	method    string
	path      string
	query     url.Values
	body      []byte
	ifVersion *uint64
	wait      time.Duration
	writes    bool
}

// result is the answer to a call that succeeded.
type result struct {
	body       []byte
	version    uint64
	versionErr error
}

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

func objectPath(key string) string {
	segments := strings.Split(key, "/")
	for i, segment := range segments {
		segments[i] = url.PathEscape(segment)
	}
	return "/v1/objects/" + strings.Join(segments, "/")
}

// call makes one call within the rate budget and the timeout.
func (c *Client) call(ctx context.Context, request call) (result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+request.wait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		err = &callError{kind: ErrUnavailable, cause: errors.Wrap(err, "wait for rate budget")}
		c.counts.failed(err)
		return result{}, err
	}
	c.counts.called(request.kind)
	answer, err := c.send(ctx, request)
	if err != nil {
		c.counts.failed(err)
	}
	return answer, err
}

func (c *Client) send(ctx context.Context, request call) (result, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	httpRequest, err := c.newRequest(ctx, request)
	if err != nil {
		return result{}, &callError{kind: ErrUnavailable, cause: err}
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return result{}, &callError{kind: effect(request.writes && written.Load()), cause: err}
	}
	defer response.Body.Close()
	body, err := readBody(response)
	return readAnswer(request, response, body, err)
}

// effect returns the kind of an error after which a write may have happened,
// or surely has not.
func effect(possible bool) error {
	if possible {
		return ErrUnknownAnswer
	}
	return ErrUnavailable
}

func (c *Client) newRequest(ctx context.Context, request call) (*http.Request, error) {
	target := c.base + request.path
	if len(request.query) > 0 {
		target += "?" + request.query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, request.method, target, bytes.NewReader(request.body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	if request.ifVersion == nil {
		return httpRequest, nil
	}
	if *request.ifVersion == 0 {
		httpRequest.Header.Set("If-None-Match", "*")
		return httpRequest, nil
	}
	httpRequest.Header.Set("If-Match", formatVersion(*request.ifVersion))
	return httpRequest, nil
}

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Errorf("read answer: more than %d bytes", maxAnswerBytes)
	}
	return body, nil
}

// readAnswer turns an HTTP answer into a result or an error. A write's answer
// is in its status and version, so its body may be cut short.
func readAnswer(request call, response *http.Response, body []byte, bodyErr error) (result, error) {
	version, versionErr := parseVersion(response.Header.Get("ETag"))
	status := response.StatusCode
	switch {
	case status == http.StatusOK && (bodyErr == nil || request.writes):
		return result{body: body, version: version, versionErr: versionErr}, nil
	case status == http.StatusNotFound:
		return result{}, ErrNotFound
	case status == http.StatusTooManyRequests:
		return result{}, &RateLimitedError{After: retryAfter(response)}
	case bodyErr != nil:
		return result{}, &callError{kind: ErrUnavailable, cause: bodyErr}
	case status == http.StatusPreconditionFailed:
		return result{}, &ConflictError{Version: version, Value: body}
	}
	cause := errors.Errorf("status %d: %s", status, firstBytes(body))
	mayHaveRun := status >= http.StatusInternalServerError && status != http.StatusServiceUnavailable
	return result{}, &callError{kind: effect(request.writes && mayHaveRun), cause: cause}
}

func formatVersion(version uint64) string {
	return `"` + strconv.FormatUint(version, 10) + `"`
}

func parseVersion(etag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(etag, `"`), 10, 64)
	return version, errors.Wrapf(err, "parse version %q", etag)
}

func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return defaultRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

func firstBytes(body []byte) string {
	const shown = 200
	if len(body) > shown {
		body = body[:shown]
	}
	return strings.TrimSpace(string(body))
}
