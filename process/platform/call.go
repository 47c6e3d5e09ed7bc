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
	// maxResponseBytes bounds the body of a response. Lists and watches have the
	// largest ones.
	maxResponseBytes = 64 << 20
	// defaultRetryAfter stands in for a Retry-After that is missing or invalid.
	defaultRetryAfter = time.Second
	// dialTimeout bounds the establishment of a connection.
	dialTimeout = time.Second
	// maxIdleConnections bounds the idle connections that a client keeps open.
	maxIdleConnections = 4
	// idleTimeout is how long an idle connection is kept open.
	idleTimeout = 90 * time.Second
	// keptConnectionTimeout bounds the wait for the head of the response to a read over a
	// kept connection, which may be silent. The read is then repeated over a new one. A
	// platform that is fifty times slower than usual answers in half of it.
	keptConnectionTimeout = 400 * time.Millisecond
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

// call makes one call, after it has waited for the rate limiter. Both together take
// at most the client's timeout, plus the maximum wait of a watch.
func (c *Client) call(ctx context.Context, request Call) (Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout+request.MaxWait)
	defer cancel()
	if err := c.limiter.Wait(ctx); err != nil {
		err = NewCallError(request, false, errors.Wrap(err, "wait for rate limiter"))
		c.counters.countError(err)
		return Result{}, err
	}
	c.counters.countCall(request.Op)
	result, err := c.send(ctx, request)
	if err != nil {
		c.counters.countError(err)
	}
	return result, err
}

// send sends a call and decodes the response. An HTTP request that failed before
// its headers were written was certainly not executed.
func (c *Client) send(ctx context.Context, request Call) (Result, error) {
	sent := c.eras.known()
	if request.Op == OpWatch && VersionEra(request.AfterRevision) != sent {
		return Result{}, ErrCompacted
	}
	response, headersWritten, err := c.exchange(ctx, request, sent, !request.Op.writes() && request.MaxWait < keptConnectionTimeout)
	if errors.Is(err, errKeptConnection) {
		c.http.CloseIdleConnections()
		c.counters.repeatedReads.Inc(1)
		response, headersWritten, err = c.exchange(ctx, request, sent, false)
	}
	if err != nil {
		return Result{}, NewCallError(request, headersWritten, err)
	}
	defer response.Body.Close()
	body, err := readBody(response)
	c.counters.bytesRead.Inc(int64(len(body)))
	return c.decode(request, sent, HTTPResponse{
		Status:  response.StatusCode,
		Header:  response.Header,
		Body:    body,
		BodyErr: err,
	})
}

// errKeptConnection means that a read over a kept connection got no response within
// keptConnectionTimeout.
var errKeptConnection = errors.New("no response over a kept connection")

// exchange sends the request of a call and waits for the head of its response. The error
// wraps ErrNoResponse if none came within the response timeout. With brief, it is
// errKeptConnection if none came over a kept connection for a shorter time. The second
// result reports whether the platform may have received the request.
func (c *Client) exchange(ctx context.Context, request Call, sent Era, brief bool) (*http.Response, bool, error) {
	wait := c.responseTimeout + request.MaxWait
	exchangeCtx, cancel := context.WithCancelCause(ctx)
	var headersWritten atomic.Bool
	if c.responseTimeout < c.timeout {
		defer time.AfterFunc(wait, func() { cancel(ErrNoResponse) }).Stop()
	}
	keptTimer := time.AfterFunc(wait, func() { cancel(errKeptConnection) })
	keptTimer.Stop()
	defer keptTimer.Stop()
	traced := httptrace.WithClientTrace(exchangeCtx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			keptTimer.Stop() // the transport may have tried another connection before
			if brief && info.Reused {
				keptTimer.Reset(keptConnectionTimeout + request.MaxWait)
			}
		},
		WroteHeaders: func() { headersWritten.Store(true) },
	})
	httpRequest, err := c.newRequest(traced, revisionsOf(request, sent))
	if err != nil {
		cancel(nil)
		return nil, false, err
	}
	response, err := c.http.Do(httpRequest)
	if err == nil {
		response.Body = &cancellingBody{ReadCloser: response.Body, cancel: func() { cancel(nil) }}
		return response, true, nil
	}
	cause := context.Cause(exchangeCtx)
	cancel(nil)
	if ctx.Err() == nil && (errors.Is(cause, ErrNoResponse) || errors.Is(cause, errKeptConnection)) {
		err = errors.Wrapf(cause, "within %v: %v", wait, err)
	}
	return nil, headersWritten.Load(), err
}

// cancellingBody is the body of a response that releases its context when it is closed.
type cancellingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancellingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}

// decode decodes the response to a call that was made when sent was the known era.
func (c *Client) decode(request Call, sent Era, response HTTPResponse) (Result, error) {
	stated, err := c.dialect.Era(response.Header)
	c.reportEraError(err)
	era, before, err := c.eras.observe(stated, sent)
	if err != nil {
		c.reportEraError(err)
		return Result{}, NewCallError(request, response.MayHaveRun(), err)
	}
	if era > before && c.config.OnEra != nil {
		c.config.OnEra(before, era)
	}
	if request.Op.writes() && era != sent && sent != 0 && response.MayHaveRun() {
		return Result{}, NewCallError(request, true, errEraRose)
	}
	if request.Op == OpWatch && VersionEra(request.AfterRevision) != era {
		return Result{}, ErrCompacted
	}
	result, err := c.dialect.Decode(request, response)
	return result.inEra(era), conflictInEra(err, era)
}

// reportEraError reports an error about the era of a response, if there is one.
func (c *Client) reportEraError(err error) {
	if err != nil && c.config.OnEraError != nil {
		c.config.OnEraError(err)
	}
}

// inEra returns the result with versions of the era in place of revisions.
func (r Result) inEra(era Era) Result {
	for i := range r.Objects {
		r.Objects[i].Version = NewVersion(era, r.Objects[i].Version)
	}
	if r.Version != 0 {
		r.Version = NewVersion(era, r.Version)
	}
	if r.Revision != 0 {
		r.Revision = NewVersion(era, r.Revision)
	}
	return r
}

// conflictInEra returns the error with a version of the era in place of a revision.
func conflictInEra(err error, era Era) error {
	var conflict *ConflictError
	if errors.As(err, &conflict) && conflict.Version != 0 {
		conflict.Version = NewVersion(era, conflict.Version)
	}
	return err
}

// revisionsOf returns the call with revisions of the store in place of versions. A
// condition on a version of an earlier era can't hold any more, although the store may
// give its revision out again, so it becomes one that never holds.
func revisionsOf(request Call, era Era) Call {
	request.AfterRevision = VersionRevision(request.AfterRevision)
	if request.IfVersion != 0 && VersionEra(request.IfVersion) != era {
		request.IfVersion = MaxRevision
	}
	request.IfVersion = VersionRevision(request.IfVersion)
	return request
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
		return nil, errors.Wrap(err, "create request")
	}
	for name, values := range encoded.Header {
		httpRequest.Header[name] = values
	}
	return httpRequest, nil
}

func readBody(response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "read response body")
	}
	if len(body) > maxResponseBytes {
		return nil, errors.Errorf("read response body: more than %d bytes", maxResponseBytes)
	}
	return body, nil
}
