package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/httpcheck"
	"verbenatrestle/connection/load"
	"verbenatrestle/request"
	"verbenatrestle/request/balance"
)

const (
	// dialTimeout is the timeout for opening a connection to a node or target.
	dialTimeout = 500 * time.Millisecond
	// hopIdleTimeout is how long the client keeps an idle connection to a node.
	// It is shorter than the server's timeout, so that the server doesn't close
	// a connection on which the client has just sent a request.
	hopIdleTimeout = 60 * time.Second
	// hopServerIdleTimeout is how long the server keeps an idle connection.
	hopServerIdleTimeout = 120 * time.Second
	// maxIdleHopConnectionsPerNode bounds the idle connections to one node.
	maxIdleHopConnectionsPerNode = 64
	// maxIdleHopConnections bounds the idle connections to all nodes.
	maxIdleHopConnections = 1024
)

// hopClient sends requests to other nodes. It is safe for concurrent use.
type hopClient struct {
	// transport is used without an http.Client, which would copy the headers
	// and follow redirects.
	transport *http.Transport
	peerKey   string
	// resolve returns the address of a node's hop listener.
	resolve func(node string) (address string, ok bool)
}

func newHopClient(protocol HopProtocol, key string, resolve func(string) (string, bool)) *hopClient {
	transport := &http.Transport{
		DialContext:           dialHop,
		DisableCompression:    true,
		IdleConnTimeout:       hopIdleTimeout,
		MaxIdleConns:          maxIdleHopConnections,
		MaxIdleConnsPerHost:   maxIdleHopConnectionsPerNode,
		ResponseHeaderTimeout: request.MaxTimeout,
		Protocols:             httpProtocols(protocol),
	}
	return &hopClient{
		transport: transport,
		peerKey:   key,
		resolve:   resolve,
	}
}

// dialHop opens a connection to a node.
func dialHop(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return httpcheck.DetectResets(conn), nil
}

// httpProtocols returns the HTTP versions to enable for a hop protocol.
func httpProtocols(p HopProtocol) *http.Protocols {
	set := new(http.Protocols)
	set.SetHTTP1(p != HopHTTP2)
	set.SetUnencryptedHTTP2(p == HopHTTP2)
	return set
}

// send sends the request to a node and returns its response or failure. The hop
// is request.HopGuard or request.HopOwner.
func (c *hopClient) send(ctx context.Context, node, hop string, req *bufferedRequest) result {
	step := "hop to " + hop
	address, ok := c.resolve(node)
	if !ok {
		return failed(balance.Failed, newFailure(http.StatusBadGateway, request.NotRun, step, node,
			"node unknown", errors.Errorf("no address of node %s is known", node)))
	}
	r, err := req.hopRequest(ctx, "http://"+address, hop, time.Now())
	if err != nil {
		return failed(balance.Cancelled, newFailure(http.StatusGatewayTimeout, request.NotRun, step, node, "out of time", err))
	}
	r.Header.Set(headerHopKey, c.peerKey)
	resp, connected, err := httpcheck.RoundTrip(c.transport, r)
	if err != nil {
		return failed(balance.Failed, roundTripFailure(step, node, connected, err))
	}
	if id := resp.Header.Get(request.HeaderRequestID); id != req.id {
		_ = resp.Body.Close()
		return failed(balance.Failed, newFailure(http.StatusBadGateway, request.Unknown, step, node,
			"answer to another request", errors.Errorf("sent request %s, got the answer to %q", req.id, id)))
	}
	return readHopResponse(step, node, resp)
}

// roundTripFailure returns the failure of a request that could not be sent or got
// no response. If there was no connection, the request was certainly not run.
func roundTripFailure(step, peer string, connected bool, err error) *request.Failure {
	outcome := request.NotRun
	if connected {
		outcome = request.Unknown
	}
	status := http.StatusBadGateway
	title := "connection failed"
	if errors.Is(err, context.DeadlineExceeded) {
		status = http.StatusGatewayTimeout
		title = "out of time"
	}
	return newFailure(status, outcome, step, peer, title, err)
}

// readHopResponse converts the response of a node to a result. A response with
// the header Vt-Outcome is a failure that the node reports.
func readHopResponse(step, node string, resp *http.Response) result {
	var res result
	if s, err := load.Parse(resp.Header.Get(request.HeaderLoad)); err == nil {
		res.sample = s
		res.hasSample = true
	}
	res.owner = resp.Header.Get(headerOwner)
	reported := request.Outcome(resp.Header.Get(request.HeaderOutcome))
	retryAfter := hopRetryAfter(resp.Header)
	r, err := readResponse(resp)
	if err != nil {
		res.kind = balance.Failed
		res.failure = newFailure(http.StatusBadGateway, request.Unknown, step, node, "answer broke off", err)
		return res
	}
	if reported != "" {
		res.failure = withRetryAfter(reportedFailure(reported, step, node, r), retryAfter)
		res.kind = failureKind(res.failure)
		r.close()
		return res
	}
	r.node = node
	res.response = r
	res.kind = responseKind(r.status)
	return res
}

// responseKind returns how the balancing table counts a response with the given
// status: 500 and above is a failure of the target.
func responseKind(status int) balance.ResultKind {
	if status >= http.StatusInternalServerError {
		return balance.Failed
	}
	return balance.Answered
}

// failureKind returns how the balancing table counts a failure that a node
// reported.
func failureKind(f *request.Failure) balance.ResultKind {
	if f.Outcome == request.NotRun {
		return balance.Refused
	}
	return balance.Failed
}
