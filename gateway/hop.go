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
	// hopIdle is how long a connection to another node is kept idle, and
	// hopServerIdle how long the other side keeps it: longer, so that it does not
	// close one that is about to be used.
	hopIdle       = 6 * time.Second
	hopServerIdle = 12 * time.Second
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
			IDHeader:       platform.HeaderRequestID,
			DialTimeout:    hopDialTimeout,
			TCPUserTimeout: hopUserTimeout,
			IdleTimeout:    hopIdle,
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
		p.CloseExpired(now)
		if p.OpenConnections() == 0 {
			delete(h.pools, address)
		}
	}
}

// run makes one attempt at the guard of another node.
func (h *hopClient) run(ctx context.Context, to *fleet.Candidate, o *order) result {
	message := o.message
	message.Header = o.message.Header.Clone()
	now := time.Now()
	message.Header.Set(request.HeaderHop, hopRun)
	message.Header.Set(request.HeaderService, o.service)
	message.Header.Set(headerOrder, encodeOrder(o, now))
	message.Header.Set(platform.HeaderTimeout, strconv.FormatInt(o.work.Deadline.Sub(now).Milliseconds(), 10))
	message.Header.Set(platform.HeaderCaller, o.work.Caller)
	ctx, cancel := context.WithDeadline(ctx, o.work.Deadline.Add(hopGrace))
	defer cancel()
	answer, err := h.pool(to.HopAddress).Do(ctx, &message, 0)
	if err != nil {
		return h.lost(ctx, to, o, err)
	}
	return readHop(answer)
}

// lost ends a hop without an answer. A request that must not run twice is
// fenced off at the guard, so that it may go elsewhere if it never got there.
func (h *hopClient) lost(ctx context.Context, to *fleet.Candidate, o *order, err error) result {
	failure := exchange.AsError(err)
	if failure == nil || failure.Kind != exchange.KindCancelled && failure.Kind != exchange.KindTimeout {
		h.node.fleet.HopFailed(to.Node, time.Now())
	}
	if failure != nil && !failure.MaybeSent {
		return result{outcome: request.NotRun, reason: "hop-" + string(failure.Kind), err: err}
	}
	r := result{outcome: request.Unknown, reason: "hop-lost", arrived: true, err: err}
	if failure != nil && failure.Kind == exchange.KindCancelled {
		r.reason = reasonCallerLeft
	}
	if failure != nil && failure.Kind == exchange.KindBroken && o.work.NonIdempotent && ctx.Err() == nil {
		if h.fence(ctx, to, o.work.ID) {
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
	answer, err := h.call(ctx, to.HopAddress, &exchange.Request{Method: http.MethodPost, RequestURI: "/", Header: header, ID: id})
	return err == nil && answer.Status == http.StatusOK
}

// config fetches the configuration of another node.
func (h *hopClient) config(ctx context.Context, address string) ([]byte, error) {
	header := http.Header{}
	header.Set(request.HeaderHop, hopConfig)
	answer, err := h.call(ctx, address, &exchange.Request{Method: http.MethodGet, RequestURI: "/", Header: header})
	if err != nil {
		return nil, errors.Wrap(err, "fetch configuration")
	}
	if answer.Status != http.StatusOK {
		return nil, errors.Errorf("fetch configuration from %s: status %d", address, answer.Status)
	}
	return answer.Body, nil
}

func (h *hopClient) call(ctx context.Context, address string, message *exchange.Request) (*exchange.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, hopCallTimeout)
	defer cancel()
	message.Host = address
	return h.pool(address).Do(ctx, message, 0)
}

// orderFlags returns the flags of work that a hop carries, in their order there.
func orderFlags(w *gate.Request) []*bool {
	return []*bool{&w.Retry, &w.NonIdempotent, &w.CausedByRetry, &w.MayHaveRun, &w.HasAlternatives}
}

// encodeOrder puts what the gate goes by into a header.
func encodeOrder(o *order, now time.Time) string {
	parts := []string{
		o.work.Kind,
		strconv.Itoa(o.work.Priority),
		strconv.FormatInt(o.work.Due.Sub(now).Milliseconds(), 10),
	}
	for _, flag := range orderFlags(&o.work) {
		parts = append(parts, strconv.FormatBool(*flag))
	}
	return strings.Join(parts, ";")
}

// orderFields is the number of fields before the flags.
const orderFields = 3

// decodeOrder reads what encodeOrder wrote.
func decodeOrder(text string, now time.Time) (gate.Request, error) {
	var work gate.Request
	flags := orderFlags(&work)
	parts := strings.Split(text, ";")
	if len(parts) != orderFields+len(flags) {
		return gate.Request{}, errors.Errorf("decode order %q: want %d parts", text, orderFields+len(flags))
	}
	rank, rankErr := strconv.Atoi(parts[1])
	due, err := strconv.ParseInt(parts[2], 10, 64)
	for i, flag := range flags {
		set, flagErr := strconv.ParseBool(parts[orderFields+i])
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

// writeHop puts the end of an attempt into the answer to a hop.
func writeHop(id string, r *result) *pipeline.Response {
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
	if r.loaded {
		header.Set(request.HeaderLoad, encodeLoad(r.load))
	}
	return response
}

// readHop takes the end of an attempt out of the answer to a hop.
func readHop(answer *exchange.Response) result {
	header := answer.Header
	r := result{
		outcome: request.Outcome(header.Get(request.HeaderOutcome)),
		reason:  header.Get(headerReason),
		arrived: header.Get(headerOrder) != "",
	}
	r.load, r.loaded = decodeLoad(header.Get(request.HeaderLoad))
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
	var figures [4]int
	for i, part := range parts {
		figure, err := strconv.Atoi(part)
		if err != nil {
			return fleet.Load{}, false
		}
		figures[i] = figure
	}
	return fleet.Load{Running: figures[0], Waiting: figures[1], Slowdown: figures[2], Accepting: figures[3] != 0}, true
}

// serveHop answers a hop of another node.
func (n *Node) serveHop(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	switch r.Header.Get(request.HeaderHop) {
	case hopRun:
		return n.serveRun(ctx, r)
	case hopFence:
		return n.serveFence(r)
	case hopConfig:
		table := n.config.table()
		if table.routes == nil {
			return &pipeline.Response{Status: http.StatusNotFound, Header: http.Header{}}
		}
		return &pipeline.Response{Status: http.StatusOK, Header: http.Header{}, Body: table.document}
	}
	return &pipeline.Response{Status: http.StatusBadRequest, Header: http.Header{}}
}

// serveRun takes an attempt of another node to the target.
func (n *Node) serveRun(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	work, err := decodeOrder(r.Header.Get(headerOrder), r.ArrivedAt)
	var left time.Duration
	if err == nil {
		left, err = platform.ParseMillis(r.Header.Get(platform.HeaderTimeout))
	}
	if err != nil {
		n.events.badMessage("order", r.RemoteAddr, err)
		bad := refused("bad-order", 0)
		return writeHop(id, &bad)
	}
	work.ID = id
	work.Caller = r.Header.Get(platform.HeaderCaller)
	work.Deadline = r.ArrivedAt.Add(left)
	o := &order{
		message: exchange.Request{Method: r.Method, RequestURI: r.RequestURI, Host: r.Host, Header: r.Header, Body: r.Body, ID: id},
		service: r.Header.Get(request.HeaderService),
		work:    work,
	}
	for _, name := range []string{request.HeaderHop, request.HeaderService, headerOrder} {
		o.message.Header.Del(name)
	}
	res := n.guard.run(ctx, o)
	return writeHop(id, &res)
}

// serveFence answers whether a request is sure never to run here. A process
// that started after the request was sent knows nothing of it.
func (n *Node) serveFence(r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	header := http.Header{}
	header.Set(platform.HeaderRequestID, id)
	same := r.Header.Get(headerOrder) == strconv.FormatUint(n.peers.incarnation, 10)
	fenced := same && n.guard.fence(id)
	n.events.fenced(id, r.RemoteAddr, same, fenced)
	if !fenced {
		return &pipeline.Response{Status: http.StatusConflict, Header: header}
	}
	return &pipeline.Response{Status: http.StatusOK, Header: header}
}
