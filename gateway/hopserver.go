package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/platform"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// serveHop handles a hop from another node.
func (n *Node) serveHop(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	switch r.Header.Get(request.HeaderHop) {
	case hopRun:
		return n.serveRun(ctx, r)
	case hopFence:
		return n.serveFence(r)
	case hopCollect:
		return n.serveCollect(ctx, r)
	case hopConfig:
		return n.serveConfig(r)
	}
	return &pipeline.Response{Status: http.StatusBadRequest, Header: http.Header{}}
}

// rejectHop returns the response to a hop that can't be parsed or is too large. Its
// request has not run.
func (n *Node) rejectHop(status int, reason string) *pipeline.Response {
	response := n.reject(status, reason)
	response.Header.Set(request.HeaderOutcome, string(request.NotRun))
	response.Header.Set(headerReason, reasonHopRejected)
	return response
}

// serveConfig answers with the configuration, or with 503 if as many transfers as are
// allowed run already.
func (n *Node) serveConfig(r *pipeline.Request) *pipeline.Response {
	config := n.config.snapshot()
	if config.routes == nil {
		return &pipeline.Response{Status: http.StatusNotFound, Header: http.Header{}}
	}
	transfer, ok := n.configTransfers.Begin(transferTime(len(config.document)), time.Now())
	if !ok {
		return &pipeline.Response{Status: http.StatusServiceUnavailable, Header: http.Header{headerReason: {reasonConfigBusy}}}
	}
	response := n.encodeConfig(r, config.document)
	response.OnWritten = func(error) { n.configTransfers.End(transfer) }
	n.metrics.configSent(len(response.Body))
	return response
}

// encodeConfig returns the response with a configuration, compressed if the other node
// accepts that.
func (n *Node) encodeConfig(r *pipeline.Request, document configDocument) *pipeline.Response {
	if r.Header.Get("Accept-Encoding") == documentEncoding {
		header := http.Header{"Content-Encoding": {documentEncoding}}
		return &pipeline.Response{Status: http.StatusOK, Header: header, Body: document}
	}
	text, err := document.text()
	if err != nil {
		n.events.badMessage("configuration", r.RemoteAddr, err)
		return &pipeline.Response{Status: http.StatusInternalServerError, Header: http.Header{}}
	}
	return &pipeline.Response{Status: http.StatusOK, Header: http.Header{}, Body: text}
}

// serveRun sends the request of another node to the local target.
func (n *Node) serveRun(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	admission, err := decodeAdmission(r.Header.Get(headerOrder), r.ArrivedAt)
	var remaining time.Duration
	if err == nil {
		remaining, err = platform.ParseMillis(r.Header.Get(platform.HeaderTimeout))
	}
	var caller version.Caller
	var refused string
	if err == nil {
		caller, refused, err = n.confirm(r)
	}
	if err != nil {
		n.events.badMessage("order", r.RemoteAddr, err)
		bad := refusedResult("bad-order", 0)
		return encodeResult(id, &bad)
	}
	if refused != "" {
		result := refusedResult(refused, outdatedRetryAfter)
		return encodeResult(id, &result)
	}
	admission.ID = id
	admission.Suspect = r.Header.Get(request.HeaderSuspect) != ""
	admission.Caller = r.Header.Get(platform.HeaderCaller)
	admission.Fingerprint = fingerprintOf(r, admission.Caller)
	admission.Deadline = r.ArrivedAt.Add(remaining)
	req := &targetRequest{
		message:   exchange.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: r.Header, Body: r.Body, ID: id},
		service:   r.Header.Get(request.HeaderService),
		admission: admission,
	}
	req.setCaller(caller)
	key := hopKey(r.Header)
	cleanRequestHeader(req.message.Header, id)
	return n.logHop(key, func() *pipeline.Response {
		res := n.localTarget.run(ctx, req)
		return encodeResult(id, &res)
	})
}

// serveFence fences off a request, so that it is not admitted here for
// dedupWindow. It answers 409 if the request may have run or may still run: if
// it was admitted or began to wait within the last dedupWindow, unless it was
// then not sent or the target refused to run it, or if it was sent to an earlier
// incarnation of this node, of which no record is left.
func (n *Node) serveFence(r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	header := http.Header{}
	header.Set(platform.HeaderRequestID, id)
	same := r.Header.Get(headerOrder) == strconv.FormatUint(n.peers.incarnation, 10)
	fenced := same && n.localTarget.fence(id)
	n.events.fenced(id, r.RemoteAddr, same, fenced)
	if !fenced {
		return &pipeline.Response{Status: http.StatusConflict, Header: header}
	}
	return &pipeline.Response{Status: http.StatusOK, Header: header}
}
