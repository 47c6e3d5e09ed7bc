package platform

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
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

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
}

// call makes one call within the rate budget and the timeout.
func (c *Client) call(ctx context.Context, request Call) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+request.MaxWait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		err = NewCallError(request, false, errors.Wrap(err, "wait for rate budget"))
		c.counts.failed(err)
		return Result{}, err
	}
	c.counts.called(request.Op)
	reply, err := c.send(ctx, request)
	if err != nil {
		c.counts.failed(err)
	}
	return reply, err
}

func (c *Client) send(ctx context.Context, request Call) (Result, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { written.Store(true) },
	})
	httpRequest, err := c.newRequest(ctx, request)
	if err != nil {
		return Result{}, NewCallError(request, false, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return Result{}, NewCallError(request, written.Load(), err)
	}
	defer response.Body.Close()
	body, err := readBody(response)
	return c.dialect.Decode(request, HTTPResponse{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    body,
		BodyErr: err,
	})
}

func (c *Client) newRequest(ctx context.Context, request Call) (*http.Request, error) {
	message, err := c.dialect.Encode(request)
	if err != nil {
		return nil, err
	}
	target := c.base + message.Path
	if len(message.Query) > 0 {
		target += "?" + message.Query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, message.Method, target, bytes.NewReader(message.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	for name, values := range message.Header {
		httpRequest.Header[name] = values
	}
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
