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
	// maxResponseBytes bounds the answer to a list or a watch.
	maxResponseBytes = 64 << 20
	// defaultRetryAfter stands in for a Retry-After that is not given.
	defaultRetryAfter = time.Second
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// maxIdleConnections bounds the connections that a client keeps open.
	maxIdleConnections = 4
	// idleTimeout is how long a connection without a call is kept.
	idleTimeout = 90 * time.Second
)

func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
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
		c.counters.countError(err)
		return Result{}, err
	}
	c.counters.countCall(request.Op)
	reply, err := c.send(ctx, request)
	if err != nil {
		c.counters.countError(err)
	}
	return reply, err
}

func (c *Client) send(ctx context.Context, request Call) (Result, error) {
	var headersWritten atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		WroteHeaders: func() { headersWritten.Store(true) },
	})
	httpRequest, err := c.newRequest(ctx, request)
	if err != nil {
		return Result{}, NewCallError(request, false, err)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		return Result{}, NewCallError(request, headersWritten.Load(), err)
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
	encoded, err := c.dialect.Encode(request)
	if err != nil {
		return nil, err
	}
	address := c.base + encoded.Path
	if len(encoded.Query) > 0 {
		address += "?" + encoded.Query.Encode()
	}
	httpRequest, err := http.NewRequestWithContext(ctx, encoded.Method, address, bytes.NewReader(encoded.Body))
	if err != nil {
		return nil, errors.Wrap(err, "make request")
	}
	for name, values := range encoded.Header {
		httpRequest.Header[name] = values
	}
	return httpRequest, nil
}

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read answer")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("read answer: more than %d bytes", maxResponseBytes)
	}
	return body, nil
}
