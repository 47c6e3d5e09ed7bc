package gateway

import (
	"cmp"
	"context"
	"net/http"
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

// Headers of a hop between nodes, beside those of package request.
const (
	headerOrder  = "Vt-Order"
	headerReason = "Vt-Reason"
)

// Kinds of a hop, in request.HeaderHop.
const (
	hopRun    = "run"
	hopFence  = "fence"
	hopConfig = "config"
)

// reasonCallerLeft is the reason of an attempt whose caller has left.
const reasonCallerLeft = "caller-left"

const (
	// hopDialTimeout bounds the opening of a connection to another node: some
	// round trips between data centres and one lost packet.
	hopDialTimeout = 350 * time.Millisecond
	// hopUserTimeout is how long bytes to another node may stay unacknowledged.
	hopUserTimeout = 1200 * time.Millisecond
	// hopIdleTimeout is how long a connection to another node is kept idle, and
	// hopServerIdle how long the other side keeps it: longer, so that it does not
	// close one that is about to be used.
	hopIdleTimeout       = 6 * time.Second
	hopServerIdleTimeout = 12 * time.Second
	// hopCallTimeout bounds a call to another node that runs no request.
	hopCallTimeout = 500 * time.Millisecond
	// hopGrace is how long the answer of another node may take past the deadline
	// and the grace that its guard gives the target.
	hopGrace = answerGrace + 40*time.Millisecond
)

// hopClient sends attempts to the guards of other nodes.
type hopClient struct {
	node *Node

	mu    sync.Mutex
	pools map[string]*exchange.Pool
}

func newHopClient(n *Node) *hopClient {
	return &hopClient{node: n, pools: make(map[string]*exchange.Pool)}
}

func (h *hopClient) pool(address string) *exchange.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	p := h.pools[address]
	if p == nil {
		p = exchange.NewPool(address, exchange.Options{
			IDHeader:    platform.HeaderRequestID,
			DialTimeout: hopDialTimeout,
			UserTimeout: hopUserTimeout,
			IdleTimeout: hopIdleTimeout,
		})
		h.pools[address] = p
	}
	return p
}

// sweep closes connections that have idled for too long.
func (h *hopClient) sweep(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for address, p := range h.pools {
		p.Sweep(now)
		if p.Open() == 0 {
			delete(h.pools, address)
		}
	}
}

// run makes one attempt at the guard of another node.
func (h *hopClient) run(ctx context.Context, to *fleet.Candidate, req *targetRequest) attemptResult {
	message := req.message
	message.Header = req.message.Header.Clone()
	now := time.Now()
	message.Header.Set(request.HeaderHop, hopRun)
	message.Header.Set(request.HeaderService, req.service)
	message.Header.Set(headerOrder, encodeAdmission(req, now))
	message.Header.Set(platform.HeaderTimeout, strconv.FormatInt(req.admission.Deadline.Sub(now).Milliseconds(), 10))
	message.Header.Set(platform.HeaderCaller, req.admission.Caller)
	ctx, cancel := context.WithDeadline(ctx, req.admission.Deadline.Add(hopGrace))
	defer cancel()
	answer, err := h.pool(to.HopAddress).Do(ctx, &message, 0)
	if err != nil {
		return h.handleError(ctx, to, req, err)
	}
	return decodeResult(answer)
}

// handleError ends a hop without an answer. A request that must not run twice is
// fenced off at the guard, so that it may go elsewhere if it never got there.
func (h *hopClient) handleError(ctx context.Context, to *fleet.Candidate, req *targetRequest, err error) attemptResult {
	failure := exchange.AsError(err)
	if failure == nil || failure.Kind != exchange.KindCancelled && failure.Kind != exchange.KindTimeout {
		h.node.fleet.HopFailed(to.Node, time.Now())
	}
	if failure != nil && !failure.Sent {
		return attemptResult{outcome: request.NotRun, reason: "hop-" + string(failure.Kind), err: err}
	}
	r := attemptResult{outcome: request.Unknown, reason: "hop-lost", arrived: true, err: err}
	if failure != nil && failure.Kind == exchange.KindCancelled {
		r.reason = reasonCallerLeft
	}
	if failure != nil && failure.Kind == exchange.KindBroken && req.admission.NonIdempotent && ctx.Err() == nil {
		if h.fence(ctx, to, req.admission.ID) {
			r.outcome, r.reason, r.arrived = request.NotRun, "hop-fenced", false
		}
	}
	return r
}

// fence asks the guard to make sure that a request never runs. It reports
// whether that is so.
func (h *hopClient) fence(ctx context.Context, to *fleet.Candidate, id string) bool {
	header := http.Header{}
	header.Set(request.HeaderHop, hopFence)
	header.Set(platform.HeaderRequestID, id)
	header.Set(headerOrder, strconv.FormatUint(to.Incarnation, 10))
	answer, err := h.call(ctx, to.HopAddress, &exchange.Request{Method: http.MethodPost, Target: "/", Header: header, ID: id})
	return err == nil && answer.Status == http.StatusOK
}

// config fetches the configuration of another node.
func (h *hopClient) config(ctx context.Context, address string) ([]byte, error) {
	header := http.Header{}
	header.Set(request.HeaderHop, hopConfig)
	answer, err := h.call(ctx, address, &exchange.Request{Method: http.MethodGet, Target: "/", Header: header})
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	if answer.Status != http.StatusOK {
		return nil, errors.Errorf("fetch configuration from %s: status %d", address, answer.Status)
	}
	return answer.Body, nil
}

func (h *hopClient) call(ctx context.Context, address string, message *exchange.Request) (*exchange.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, hopCallTimeout)
	defer cancel()
	message.Host = address
	return h.pool(address).Do(ctx, message, 0)
}

// admissionFlags returns the flags of work that a hop carries, in their order there.
func admissionFlags(w *gate.Request) []*bool {
	return []*bool{&w.Retry, &w.NonIdempotent, &w.CausedByRetry, &w.MayHaveRun, &w.HasAlternatives}
}

// encodeAdmission puts what the gate goes by into a header.
func encodeAdmission(req *targetRequest, now time.Time) string {
	parts := []string{
		req.admission.Kind,
		strconv.Itoa(req.admission.Priority),
		strconv.FormatInt(req.admission.Due.Sub(now).Milliseconds(), 10),
	}
	for _, flag := range admissionFlags(&req.admission) {
		parts = append(parts, strconv.FormatBool(*flag))
	}
	return strings.Join(parts, ";")
}

// admissionFixedFields is the number of fields before the flags.
const admissionFixedFields = 3

// decodeAdmission reads what encodeOrder wrote.
func decodeAdmission(text string, now time.Time) (gate.Request, error) {
	var work gate.Request
	flags := admissionFlags(&work)
	parts := strings.Split(text, ";")
	if len(parts) != admissionFixedFields+len(flags) {
		return gate.Request{}, errors.Errorf("decode order %q: want %d parts", text, admissionFixedFields+len(flags))
	}
	rank, rankErr := strconv.Atoi(parts[1])
	due, err := strconv.ParseInt(parts[2], 10, 64)
	for i, flag := range flags {
		set, flagErr := strconv.ParseBool(parts[admissionFixedFields+i])
		*flag = set
		err = cmp.Or(err, flagErr)
	}
	if err = cmp.Or(rankErr, err); err != nil {
		return gate.Request{}, errors.Wrapf(err, "decode order %q", text)
	}
	work.Kind, work.Priority = parts[0], rank
	work.Due = now.Add(time.Duration(due) * time.Millisecond)
	return work, nil
}

// encodeResult puts the end of an attempt into the answer to a hop.
func encodeResult(id string, r *attemptResult) *pipeline.Response {
	response := &pipeline.Response{Status: http.StatusServiceUnavailable, Header: http.Header{}}
	outcome := r.outcome
	if r.answer != nil {
		response.Status, response.Header, response.Body = r.answer.Status, r.answer.Header.Clone(), r.answer.Body
		outcome = request.Done
	}
	header := response.Header
	header.Set(platform.HeaderRequestID, id)
	header.Set(request.HeaderOutcome, string(outcome))
	if r.answer == nil {
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

// decodeResult takes the end of an attempt out of the answer to a hop.
func decodeResult(answer *exchange.Answer) attemptResult {
	header := answer.Header
	r := attemptResult{
		outcome: request.Outcome(header.Get(request.HeaderOutcome)),
		reason:  header.Get(headerReason),
		arrived: header.Get(headerOrder) != "",
	}
	r.load, r.hasLoad = decodeLoad(header.Get(request.HeaderLoad))
	switch r.outcome {
	case request.Done:
		for _, name := range []string{request.HeaderOutcome, request.HeaderLoad, headerOrder, headerReason} {
			header.Del(name)
		}
		r.answer = answer
		r.arrived = true
	case request.NotRun:
		if after, err := platform.ParseSeconds(header.Get("Retry-After")); err == nil {
			r.retryAfter = after
		}
	default:
		r.outcome = request.Unknown
	}
	return r
}

func encodeLoad(l fleet.Load) string {
	open := 0
	if l.Accepting {
		open = 1
	}
	return strings.Join([]string{
		strconv.Itoa(l.Running), strconv.Itoa(l.Waiting), strconv.Itoa(l.Slowdown), strconv.Itoa(open),
	}, ",")
}

// decodeLoad reads what encodeLoad wrote. It returns false if it is not that.
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

// serveHop answers a hop of another node.
func (n *Node) serveHop(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	switch r.Header.Get(request.HeaderHop) {
	case hopRun:
		return n.serveRun(ctx, r)
	case hopFence:
		return n.serveFence(r)
	case hopConfig:
		config := n.config.snapshot()
		if config.routes == nil {
			return &pipeline.Response{Status: http.StatusNotFound, Header: http.Header{}}
		}
		return &pipeline.Response{Status: http.StatusOK, Header: http.Header{}, Body: config.document}
	}
	return &pipeline.Response{Status: http.StatusBadRequest, Header: http.Header{}}
}

// serveRun takes an attempt of another node to the target.
func (n *Node) serveRun(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	work, err := decodeAdmission(r.Header.Get(headerOrder), r.Arrived)
	var remaining time.Duration
	if err == nil {
		remaining, err = platform.ParseMillis(r.Header.Get(platform.HeaderTimeout))
	}
	if err != nil {
		n.events.badMessage("order", r.Peer, err)
		bad := refusedResult("bad-order", 0)
		return encodeResult(id, &bad)
	}
	work.ID = id
	work.Caller = r.Header.Get(platform.HeaderCaller)
	work.Deadline = r.Arrived.Add(remaining)
	req := &targetRequest{
		message:   exchange.Request{Method: r.Method, Target: r.Target, Host: r.Host, Header: r.Header, Body: r.Body, ID: id},
		service:   r.Header.Get(request.HeaderService),
		admission: work,
	}
	for _, name := range []string{request.HeaderHop, request.HeaderService, headerOrder} {
		req.message.Header.Del(name)
	}
	res := n.localTarget.run(ctx, req)
	return encodeResult(id, &res)
}

// serveFence answers whether a request is sure never to run here. A process
// that started after the request was sent knows nothing of it.
func (n *Node) serveFence(r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	header := http.Header{}
	header.Set(platform.HeaderRequestID, id)
	same := r.Header.Get(headerOrder) == strconv.FormatUint(n.peers.incarnation, 10)
	fenced := same && n.localTarget.fence(id)
	n.events.fenced(id, r.Peer, same, fenced)
	if !fenced {
		return &pipeline.Response{Status: http.StatusConflict, Header: header}
	}
	return &pipeline.Response{Status: http.StatusOK, Header: header}
}
