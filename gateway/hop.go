package gateway

import (
	"cmp"
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/gate"
	"verbenatrestle/request"
)

// Headers of a hop between nodes, in addition to those of package request.
//
// headerOrder carries the admission properties of a request, the incarnation of
// the node in a fence, and "arrived" in the response to a request if
// attemptResult.arrived is set. headerReason carries attemptResult.reason.
// headerAttempt identifies each of the times that a request is sent to one node.
const (
	headerOrder   = "Vt-Order"
	headerReason  = "Vt-Reason"
	headerAttempt = "Vt-Attempt"
)

// Kinds of hops, the values of request.HeaderHop.
const (
	hopRun    = "run"
	hopFence  = "fence"
	hopConfig = "config"
)

// reasonHopRejected is the reason of an attempt that the server of the other node
// rejected unread.
const reasonHopRejected = "hop-rejected"

// reasonConfigBusy is the reason of a node that declines to send its configuration
// because it sends as many as it may.
const reasonConfigBusy = "config-busy"

// reasonCallerLeft is the reason of an attempt that was cancelled because the
// caller closed its connection.
const reasonCallerLeft = "caller-left"

const (
	// hopDialTimeout bounds the opening of a connection to another node. It
	// allows for some round trips between data centres and the loss of one
	// packet.
	hopDialTimeout = 350 * time.Millisecond
	// hopUserTimeout is how long data sent to another node may stay
	// unacknowledged (TCP_USER_TIMEOUT).
	hopUserTimeout = 1200 * time.Millisecond
	// hopIdleTimeout is how long the sender keeps an idle connection to another
	// node. The server keeps it longer, for hopServerIdleTimeout, so that it
	// does not close a connection that is about to be used.
	hopIdleTimeout       = 6 * time.Second
	hopServerIdleTimeout = 12 * time.Second
	// hopCallTimeout bounds a fence.
	hopCallTimeout = 500 * time.Millisecond
	// hopGrace is how long the sender waits for the response after the deadline:
	// the grace that the other node gives its target, and the time of the hop.
	hopGrace = responseGrace + 40*time.Millisecond
)

// hopClient sends requests to the local targets of other nodes. It is safe for
// concurrent use.
type hopClient struct {
	node *Node
	// memory bounds the bodies of responses that are being received.
	memory *exchange.MemoryBudget

	mu    sync.Mutex
	pools map[string]*hopPool
	// pending holds the requests that wait for their responses.
	pending map[*pendingHop]struct{}
}

// hopPool is the connection pool of one address.
type hopPool struct {
	*exchange.Pool
	// users counts the hops that use the pool now.
	users int
}

// newHopClient returns a client without connections.
func newHopClient(n *Node, memory *exchange.MemoryBudget) *hopClient {
	return &hopClient{node: n, memory: memory, pools: make(map[string]*hopPool), pending: make(map[*pendingHop]struct{})}
}

// do sends a request over a connection of the address's pool.
func (h *hopClient) do(ctx context.Context, address string, message *exchange.Request) (*exchange.Response, error) {
	p := h.acquire(address)
	defer h.release(p)
	return p.Do(ctx, message, 0)
}

// acquire returns the connection pool of an address and creates it if needed. It is
// kept until release.
func (h *hopClient) acquire(address string) *hopPool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[address]
	if p == nil {
		p = &hopPool{Pool: exchange.NewPool(address, exchange.Options{
			IDHeader:       platform.HeaderRequestID,
			TrustMissingID: true, // rejections of hops whose head can't be read have none
			DialTimeout:    hopDialTimeout,
			TCPUserTimeout: hopUserTimeout,
			Silence:        hopSilence,
			IdleTimeout:    hopIdleTimeout,
			Memory:         h.memory,
		})}
		h.pools[address] = p
	}
	p.users++
	return p
}

// release ends the use of a pool.
func (h *hopClient) release(p *hopPool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	p.users--
}

// sweep closes connections that have been idle for too long and drops empty
// pools.
func (h *hopClient) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, p := range h.pools {
		p.CloseExpired(now)
		if p.users == 0 && p.OpenConnections() == 0 {
			delete(h.pools, address)
		}
	}
}

// run makes one attempt at the local target of another node.
func (h *hopClient) run(ctx context.Context, to *fleet.Candidate, req *targetRequest) attemptResult {
	message := req.message
	message.Header = req.message.Header.Clone()
	message.LeaveUnreachable = !req.admission.NonIdempotent // it can be sent to another target
	now := time.Now()
	message.Header.Set(request.HeaderHop, hopRun)
	message.Header.Set(request.HeaderService, req.service)
	message.Header.Set(headerOrder, encodeAdmission(req, now))
	message.Header.Set(platform.HeaderTimeout, strconv.FormatInt(req.admission.Deadline.Sub(now).Milliseconds(), 10))
	message.Header.Set(platform.HeaderCaller, req.admission.Caller)
	message.Header.Set(headerAttempt, newAttempt())
	message.Header.Set(headerOrganisation, encodeCaller(req.caller))
	if req.admission.Suspect {
		message.Header.Set(request.HeaderSuspect, strconv.FormatBool(true))
	}
	ctx, cancel := context.WithDeadline(ctx, req.admission.Deadline.Add(hopGrace))
	defer cancel()
	result, err := h.send(ctx, to, &message)
	if err != nil {
		return h.handleError(ctx, to, req, err)
	}
	return result
}

// handleError returns the result of a hop without a response. If the connection
// broke under a non-idempotent request, the other node is asked to fence it
// off. If it does, the request can be sent to another target: by the record of
// the other node, which goes back for dedupWindow, it has not run there, and it
// will not be admitted there for as long again.
func (h *hopClient) handleError(ctx context.Context, to *fleet.Candidate, req *targetRequest, err error) attemptResult {
	failure := exchange.AsError(err)
	if failure == nil || !slices.Contains([]exchange.Kind{exchange.KindCancelled, exchange.KindTimeout, exchange.KindSilent}, failure.Kind) {
		h.node.fleet.HopFailed(to.Node, time.Now())
	}
	if failure != nil && !failure.MaybeSent {
		return attemptResult{outcome: request.NotRun, reason: "hop-" + string(failure.Kind), err: err}
	}
	r := attemptResult{outcome: request.Unknown, reason: "hop-lost", arrived: true, err: err}
	if failure != nil && failure.Kind == exchange.KindCancelled {
		r.reason = reasonCallerLeft
	}
	if failure != nil && (failure.Kind == exchange.KindBroken || failure.Kind == exchange.KindSilent) && req.admission.NonIdempotent && ctx.Err() == nil {
		if h.fence(ctx, to, req.admission.ID) {
			r.outcome, r.reason, r.arrived = request.NotRun, reasonFenced, false
		}
	}
	return r
}

// fence asks the other node not to admit a request for dedupWindow. It reports
// whether the node has confirmed that.
func (h *hopClient) fence(ctx context.Context, to *fleet.Candidate, id string) bool {
	header := http.Header{}
	header.Set(request.HeaderHop, hopFence)
	header.Set(platform.HeaderRequestID, id)
	header.Set(headerOrder, strconv.FormatUint(to.Incarnation, 10))
	response, err := h.call(ctx, to.HopAddress, &exchange.Request{Method: http.MethodPost, RequestURI: "/", Header: header, ID: id})
	return err == nil && response.Status == http.StatusOK
}

// config fetches the configuration of another node. The error is errConfigBusy if the
// node sends as many as it may.
func (h *hopClient) config(ctx context.Context, address string) (configDocument, error) {
	header := http.Header{}
	header.Set(request.HeaderHop, hopConfig)
	header.Set("Accept-Encoding", documentEncoding)
	ctx, cancel := context.WithTimeout(ctx, configFetchTimeout)
	defer cancel()
	response, err := h.do(ctx, address, &exchange.Request{
		Method: http.MethodGet, RequestURI: "/", Host: address, Header: header, ReadTimeout: configReadTimeout,
	})
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	if response.Header.Get(headerReason) == reasonConfigBusy {
		return nil, errConfigBusy
	}
	if response.Status != http.StatusOK {
		return nil, errors.Errorf("fetch configuration from %s: status %d", address, response.Status)
	}
	if response.Header.Get("Content-Encoding") != documentEncoding {
		return newConfigDocument(response.Body)
	}
	return response.Body, nil
}

// call sends a hop that neither runs a request nor transfers much.
func (h *hopClient) call(ctx context.Context, address string, message *exchange.Request) (*exchange.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, hopCallTimeout)
	defer cancel()
	message.Host = address
	return h.do(ctx, address, message)
}

// admissionFlags returns pointers to the flags that headerOrder carries, in
// the order of the header.
func admissionFlags(req *gate.Request) []*bool {
	return []*bool{&req.Retry, &req.NonIdempotent, &req.CausedByRetry, &req.MayHaveRun, &req.HasAlternatives}
}

// encodeAdmission encodes the admission properties of a request for
// headerOrder. The due time is encoded as milliseconds from now, and the name of the
// route with escapes, since it may hold the separator or what a header can't.
func encodeAdmission(req *targetRequest, now time.Time) string {
	fields := []string{
		url.PathEscape(req.admission.Kind),
		strconv.Itoa(req.admission.Priority),
		strconv.FormatInt(req.admission.Due.Sub(now).Milliseconds(), 10),
	}
	for _, flag := range admissionFlags(&req.admission) {
		fields = append(fields, strconv.FormatBool(*flag))
	}
	return strings.Join(fields, ";")
}

// admissionFixedFields is the number of fields before the flags.
const admissionFixedFields = 3

// decodeAdmission decodes the value of headerOrder. ID, Caller and Deadline
// are not part of it.
func decodeAdmission(text string, now time.Time) (gate.Request, error) {
	var admission gate.Request
	flags := admissionFlags(&admission)
	fields := strings.Split(text, ";")
	if len(fields) != admissionFixedFields+len(flags) {
		return gate.Request{}, errors.Errorf("decode Vt-Order %q: want %d fields", text, admissionFixedFields+len(flags))
	}
	priority, priorityErr := strconv.Atoi(fields[1])
	due, err := strconv.ParseInt(fields[2], 10, 64)
	for i, flag := range flags {
		set, flagErr := strconv.ParseBool(fields[admissionFixedFields+i])
		*flag = set
		err = cmp.Or(err, flagErr)
	}
	if err = cmp.Or(priorityErr, err); err != nil {
		return gate.Request{}, errors.Wrapf(err, "decode Vt-Order %q", text)
	}
	admission.Kind, admission.Priority = unescapeName(fields[0]), priority
	admission.Due = now.Add(time.Duration(due) * time.Millisecond)
	return admission, nil
}

// unescapeName reverses url.PathEscape. Nodes of earlier builds send names without escapes, so
// what is not a valid one is part of the name.
func unescapeName(text string) string {
	if name, err := url.PathUnescape(text); err == nil {
		return name
	}
	return text
}

// encodeResult encodes the result of an attempt as the response to a hop.
func encodeResult(id string, r *attemptResult) *pipeline.Response {
	response := &pipeline.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	outcome := r.outcome
	if r.response != nil {
		response.Status, response.Header, response.Body = r.response.Status, r.response.Header.Clone(), r.response.Body
		outcome = request.Done
	}
	header := response.Header
	header.Set(platform.HeaderRequestID, id)
	header.Set(request.HeaderOutcome, string(outcome))
	if r.response == nil {
		header.Set(headerReason, r.reason)
		header.Set("Retry-After", platform.FormatSeconds(r.retryAfter))
	}
	if r.arrived {
		header.Set(headerOrder, "arrived")
	}
	if r.hasLoad {
		header.Set(request.HeaderLoad, encodeLoad(r.load))
	}
	return response
}

// decodeResult decodes the response to a hop. If it states no valid outcome, the
// outcome is unknown.
func decodeResult(response *exchange.Response) attemptResult {
	header := response.Header
	r := attemptResult{
		outcome: request.Outcome(header.Get(request.HeaderOutcome)),
		reason:  header.Get(headerReason),
		arrived: header.Get(headerOrder) != "",
	}
	r.load, r.hasLoad = decodeLoad(header.Get(request.HeaderLoad))
	switch r.outcome {
	case request.Done:
		cleanResponseHeader(header)
		r.response, r.reason, r.arrived = response, "", true
	case request.NotRun:
		if after, err := platform.ParseSeconds(header.Get("Retry-After")); err == nil {
			r.retryAfter = after
		}
	default:
		r.outcome = request.Unknown
	}
	return r
}

// encodeLoad encodes a load for request.HeaderLoad.
func encodeLoad(l fleet.Load) string {
	accepting := 0
	if l.Accepting {
		accepting = 1
	}
	return strings.Join([]string{
		strconv.Itoa(l.Running), strconv.Itoa(l.Waiting), strconv.Itoa(l.Slowdown), strconv.Itoa(accepting),
	}, ",")
}

// decodeLoad decodes the value of request.HeaderLoad. It returns false if the
// text is not a valid load.
func decodeLoad(text string) (fleet.Load, bool) {
	parts := strings.Split(text, ",")
	if len(parts) != 4 {
		return fleet.Load{}, false
	}
	var values [4]int
	for i, part := range parts {
		value, err := strconv.Atoi(part)
		if err != nil {
			return fleet.Load{}, false
		}
		values[i] = value
	}
	return fleet.Load{Running: values[0], Waiting: values[1], Slowdown: values[2], Accepting: values[3] != 0}, true
}
