package gateway

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/exchange"
	"verbenatrestle/connection/pipeline"
	"verbenatrestle/internal/wait"
	"verbenatrestle/platform"
	"verbenatrestle/process/fleet"
	"verbenatrestle/process/hops"
	"verbenatrestle/request"
)

// hopCollect asks a node for the response to a request that was sent to it before. If the
// request has not arrived, the node fences it off.
const hopCollect = "collect"

const (
	// collectAfter is how long a request may stay without a response before the other
	// node is asked for it over another connection.
	collectAfter = time.Second
	// collectRetryInterval is the mean time between a dial that timed out and the next
	// attempt to collect a result. A dial can time out at once, as at the deadline.
	collectRetryInterval = 50 * time.Millisecond
	// reasonFenced is the reason of an attempt whose request has not arrived at the other
	// node and never will be admitted there.
	reasonFenced = "hop-fenced"
)

// hopSilence sets when a connection to another node is found silent.
var hopSilence = exchange.SilenceCheck{CheckAfter: 100 * time.Millisecond, GiveUpAfter: 250 * time.Millisecond}

// pendingHop is a request that was sent to another node and has no response yet.
type pendingHop struct {
	client *hopClient
	to     *fleet.Candidate
	id     string
	// attempt is the value of headerAttempt.
	attempt string
	sentAt  time.Time
	// ctx ends with the request. cancelSend ends only the exchange that sends it.
	ctx        context.Context
	cancelSend context.CancelFunc

	once sync.Once
	// ended is set when the exchange that sends the request has ended.
	ended atomic.Bool
	// collected receives the result of collect, or nil if it shows nothing.
	collected chan *attemptResult
}

// send sends a request to another node and returns its result. It returns an error if no
// response comes and the result can't be collected afterwards.
func (h *hopClient) send(ctx context.Context, to *fleet.Candidate, message *exchange.Request) (attemptResult, error) {
	sendCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := &pendingHop{
		client: h, to: to, id: message.ID, attempt: message.Header.Get(headerAttempt), sentAt: time.Now(), ctx: ctx, cancelSend: cancel, collected: make(chan *attemptResult, 1),
	}
	h.track(p)
	defer h.untrack(p)
	timer := time.AfterFunc(collectAfter, p.startCollect)
	defer timer.Stop()
	response, err := h.do(sendCtx, to.HopAddress, message)
	p.ended.Store(true)
	if err == nil {
		return decodeResult(response), nil
	}
	failure := exchange.AsError(err)
	if failure == nil || !failure.MaybeSent || failure.Kind == exchange.KindUnreachable || ctx.Err() != nil {
		return attemptResult{}, err
	}
	if failure.Kind == exchange.KindSilent {
		h.foundSilent(p)
	}
	p.startCollect()
	select {
	case r := <-p.collected:
		if r != nil {
			return *r, nil
		}
	case <-ctx.Done():
	}
	return attemptResult{}, err
}

// startCollect collects the result of the request in the background, unless that was
// started before.
func (p *pendingHop) startCollect() {
	p.once.Do(func() {
		go func() {
			r := p.collect()
			if r != nil && r.reason == reasonFenced {
				p.client.foundSilent(p) // it was sent, and has not arrived
			}
			p.collected <- r
			if r != nil {
				p.cancelSend()
			}
		}()
	})
}

// collect asks the other node for the result of the request and waits until it is there. It
// returns nil if the other node does not know the result. After a dial that timed out, for
// which one lost packet is enough, it asks again, unless the exchange that sends the request
// has ended: its sender waits for collect then, and may send the request elsewhere.
func (p *pendingHop) collect() *attemptResult {
	for {
		result, err := p.ask()
		if errors.Is(p.ctx.Err(), context.Canceled) {
			return nil // the response has come meanwhile, or the caller has left
		}
		p.client.node.events.collected(p, result, err)
		if result != nil || !p.mayAskAgain(err) {
			return result
		}
		if !wait.For(p.ctx, collectRetryInterval/2+rand.N(collectRetryInterval)) || p.ended.Load() {
			return nil
		}
	}
}

// mayAskAgain reports whether collect may ask again after an attempt that failed. It compares
// the deadline with the clock, since the timer of the context may run late.
func (p *pendingHop) mayAskAgain(err error) bool {
	if deadline, ok := p.ctx.Deadline(); ok && !time.Now().Before(deadline) {
		return false
	}
	return !p.ended.Load() && p.ctx.Err() == nil && isDialTimeout(err)
}

// isDialTimeout reports whether a connection took too long to open.
func isDialTimeout(err error) bool {
	failure := exchange.AsError(err)
	return failure != nil && failure.Kind == exchange.KindDial && failure.TimedOut()
}

// ask asks the other node once for the result of the request. It uses only connections that
// have carried a response since the request was sent, or a new one. The result is nil if the
// other node does not know it.
func (p *pendingHop) ask() (*attemptResult, error) {
	header := http.Header{}
	header.Set(request.HeaderHop, hopCollect)
	header.Set(platform.HeaderRequestID, p.id)
	header.Set(headerAttempt, p.attempt)
	header.Set(headerOrder, strconv.FormatUint(p.to.Incarnation, 10))
	message := &exchange.Request{Method: http.MethodPost, RequestURI: "/", Host: p.to.HopAddress, Header: header, ID: p.id}
	pool := p.client.acquire(p.to.HopAddress)
	defer p.client.release(pool)
	response, err := pool.Do(p.ctx, message, max(1, time.Since(p.sentAt)))
	if err != nil || response.Header.Get(request.HeaderOutcome) == "" {
		return nil, err
	}
	r := decodeResult(response)
	// The other node remembers an idempotent request only for KeepFor.
	forgotten := r.reason == reasonFenced && time.Since(p.sentAt) >= hops.DefaultSettings.KeepFor
	if r.outcome == request.Unknown || forgotten {
		return nil, nil
	}
	return &r, nil
}

// track adds a request that waits for its response.
func (h *hopClient) track(p *pendingHop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pending[p] = struct{}{}
}

// untrack removes a request.
func (h *hopClient) untrack(p *pendingHop) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.pending, p)
}

// foundSilent deals with the other connections after one was found silent, by the check of
// the pool or since a request that was sent over it has not arrived: idle ones that
// have carried no response since the request was sent are closed, and the results of the
// requests that have been pending for some time are collected. Younger ones may be on their
// way, and would be fenced off.
func (h *hopClient) foundSilent(silent *pendingHop) {
	h.mu.Lock()
	dropped := 0
	for _, pool := range h.pools {
		dropped += pool.DropIdleSince(silent.sentAt)
	}
	var pending []*pendingHop
	for p := range h.pending {
		if time.Since(p.sentAt) >= hopSilence.GiveUpAfter {
			pending = append(pending, p)
		}
	}
	h.mu.Unlock()
	for _, p := range pending {
		p.startCollect()
	}
	h.node.events.connectionSilent(silent, dropped, len(pending))
}

// errNotCollected is logged if the other node does not know the result of a request.
var errNotCollected = errors.New("the other node does not know the result")

// serveCollect answers with the result of a request that another node has sent before,
// once it is there. A request that has not arrived is fenced off: it has not run, and will
// not. It answers 409 if it does not know the result.
func (n *Node) serveCollect(ctx context.Context, r *pipeline.Request) *pipeline.Response {
	id := r.Header.Get(platform.HeaderRequestID)
	conflict := &pipeline.Response{Status: http.StatusConflict, Header: http.Header{platform.HeaderRequestID: {id}}}
	if r.Header.Get(headerOrder) != strconv.FormatUint(n.peers.incarnation, 10) {
		return conflict
	}
	key := hopKey(r.Header)
	entry, _ := n.hopLog.Find(key, time.Now())
	if entry == nil {
		fenced := n.localTarget.fence(id)
		n.events.fenced(id, r.RemoteAddr, true, fenced)
		var complete bool
		entry, complete = n.hopLog.Find(key, time.Now()) // it may have arrived before the fence
		if entry == nil && fenced && complete {
			r := refusedResult(reasonFenced, 0)
			return encodeResult(id, &r)
		}
	}
	if entry == nil {
		return conflict
	}
	select {
	case <-entry.Done:
	case <-ctx.Done():
		return conflict
	}
	if kept := entry.Response(); kept != nil {
		return copyResponse(kept)
	}
	return conflict
}

// newAttempt returns a random value of headerAttempt.
func newAttempt() string { return strconv.FormatUint(uint64(rand.Uint32()), 36) }

// hopKey returns the key under which a request of another node is logged. Nodes of earlier
// builds send no headerAttempt.
func hopKey(header http.Header) string {
	return header.Get(platform.HeaderRequestID) + " " + header.Get(headerAttempt)
}

// logHop runs a request of another node and keeps its response for serveCollect.
func (n *Node) logHop(key string, run func() *pipeline.Response) *pipeline.Response {
	entry := n.hopLog.Begin(key)
	response := run()
	n.hopLog.Finish(key, entry, copyResponse(response), len(response.Body), time.Now())
	return response
}

// copyResponse returns a copy with headers of its own.
func copyResponse(r *pipeline.Response) *pipeline.Response {
	return &pipeline.Response{Status: r.Status, Header: r.Header.Clone(), Body: r.Body}
}

// newHopLog returns the log of the requests of other nodes.
func newHopLog() *hops.Log[pipeline.Response] {
	return hops.NewLog[pipeline.Response](hops.DefaultSettings)
}
