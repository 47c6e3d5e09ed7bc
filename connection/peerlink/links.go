package peerlink

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"
)

// Bounds that can't be configured.
const (
	// eventLoops is the number of gnet event loops.
	eventLoops = 1
	// sweepInterval is the interval between checks of all links and peers.
	sweepInterval = 50 * time.Millisecond
	// errorLogsPerSecond bounds the rate of log lines, since anyone who can
	// connect to the port can cause errors.
	errorLogsPerSecond = 10
	// closeTimeout bounds how long Stop waits for the peers to answer its close
	// frames.
	closeTimeout = 500 * time.Millisecond
)

// Links manages this node's links to its peers. It is safe for concurrent use.
type Links struct {
	opts      Options
	logger    log.Logger
	errorLogs *rate.Limiter
	counts    *counters
	nonces    *nonceCache
	// instance identifies this process in handshakes.
	instance string

	engine gnet.Engine
	// started is closed when the engine accepts connections.
	started   chan struct{}
	startOnce sync.Once
	// engineDone receives the result of the engine when it ends.
	engineDone chan error

	// mu is locked before the mutex of a peer.
	mu    sync.Mutex
	peers map[string]*peer
	// links holds all connections, including those in their handshake.
	links map[*link]struct{}
	// pendingHandshakes counts the accepted connections in their handshake.
	pendingHandshakes int
	// running is set from the start of the engine until Stop.
	running bool
}

// New returns Links that are not started yet. It returns an error for invalid
// options.
func New(opts Options) (*Links, error) {
	if err := opts.validate(); err != nil {
		return nil, err
	}
	opts.Limits = opts.Limits.withDefaults()
	if opts.Logger == nil {
		opts.Logger = log.NewNopLogger()
	}
	return &Links{
		opts:       opts,
		logger:     log.With(opts.Logger, "part", "peerlink"),
		errorLogs:  rate.NewLimiter(errorLogsPerSecond, errorLogsPerSecond),
		counts:     newCounters(opts.Metrics),
		nonces:     newNonceCache(opts.Limits.MaxNonces),
		instance:   newNonce(),
		started:    make(chan struct{}),
		engineDone: make(chan error, 1),
		peers:      make(map[string]*peer),
		links:      make(map[*link]struct{}),
	}, nil
}

// Start opens the listener and returns when it accepts connections or has failed.
// It must be called only once. Before Start, Send fails with ErrStopped.
func (l *Links) Start() error {
	go func() {
		l.engineDone <- gnet.Run(&eventHandler{links: l}, "tcp://"+l.opts.ListenAddress,
			gnet.WithNumEventLoop(eventLoops),
			// The other load balancers of gnet write to shared fields without a
			// lock when several dials register their links concurrently.
			gnet.WithLoadBalancing(gnet.SourceAddrHash),
			gnet.WithTicker(true),
			gnet.WithReuseAddr(true),
			gnet.WithLogger(engineLogger{l.logger}))
	}()
	select {
	case <-l.started:
		return nil
	case err := <-l.engineDone:
		return errors.Wrapf(err, "listen for peers on %s", l.opts.ListenAddress)
	}
}

// markStarted records that the engine is running and unblocks Start.
func (l *Links) markStarted() {
	l.mu.Lock()
	l.running = true
	l.mu.Unlock()
	close(l.started)
}

// Stop sends a close frame on every link and waits for the answers, at most half a
// second or until ctx ends. It then closes the listener. Queued messages are sent
// before the close frames, if there is time.
func (l *Links) Stop(ctx context.Context) error {
	l.mu.Lock()
	l.running = false
	l.mu.Unlock()
	now := time.Now()
	for _, k := range l.allLinks() {
		k.beginClose(now, ErrStopped)
	}
	l.awaitClosed(ctx, now.Add(closeTimeout))
	return errors.Wrap(l.engine.Stop(ctx), "stop peer links")
}

// awaitClosed waits until all connections are closed, the context ends, or the
// time until has passed.
func (l *Links) awaitClosed(ctx context.Context, until time.Time) {
	ticker := time.NewTicker(sweepInterval / 5)
	defer ticker.Stop()
	for len(l.allLinks()) > 0 && time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Send queues a message for a peer and dials the peer if there is no link. The
// message must be a pointer to a registered type. Send never waits for the
// network. An error means that the message was dropped; nil does not mean that it
// will be delivered.
func (l *Links) Send(to string, message any) error {
	data, err := l.opts.Codec.Encode(message)
	if err != nil {
		return errors.Wrapf(err, "send to %s", to)
	}
	if len(data) > l.opts.Limits.MaxMessageBytes {
		return errors.Errorf("send to %s: %T has %d bytes, the limit is %d", to, message, len(data), l.opts.Limits.MaxMessageBytes)
	}
	if err := l.enqueue(to, data); err != nil {
		l.counts.queueDrops.Inc(1)
		return errors.Wrapf(err, "send to %s", to)
	}
	l.counts.message("out", message, len(data))
	return nil
}

// enqueue queues an encoded message, and then wakes the link or starts a dial.
func (l *Links) enqueue(to string, data []byte) error {
	p, err := l.lockedPeer(to)
	if err != nil {
		return err
	}
	defer p.mu.Unlock()
	now := time.Now()
	if p.link == nil && !p.dialling && now.Before(p.nextDial) && p.conflicts == 0 {
		return errors.Errorf("the last dial failed, the next is allowed in %s", p.nextDial.Sub(now))
	}
	if err := p.enqueue(data, l.opts.Limits); err != nil {
		return err
	}
	if p.link != nil {
		p.link.wake()
	}
	if p.startDial(now) {
		go l.dial(p)
	}
	return nil
}

// lockedPeer returns the entry of a peer and creates it if needed. The caller
// must unlock its mutex. Until then, the sweep can't remove the entry.
func (l *Links) lockedPeer(name string) (*peer, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running {
		return nil, ErrStopped
	}
	if name == l.opts.Self {
		return nil, errors.New("a node has no link to itself")
	}
	p, ok := l.peers[name]
	if !ok {
		p = &peer{name: name}
		p.inbox.limits = l.opts.Limits
		p.inbox.handle = func(e event) { l.handleEvent(p, e) }
		l.peers[name] = p
	}
	p.mu.Lock()
	return p, nil
}

// allLinks returns all connections, including those in their handshake.
func (l *Links) allLinks() []*link {
	l.mu.Lock()
	defer l.mu.Unlock()
	links := make([]*link, 0, len(l.links))
	for k := range l.links {
		links = append(links, k)
	}
	return links
}

// handleEvent calls the handler for an event of a peer.
func (l *Links) handleEvent(p *peer, e event) {
	switch {
	case e.up:
		l.opts.Handler.LinkUp(p.name)
	case e.down:
		l.opts.Handler.LinkDown(p.name, e.err)
	default:
		l.handleMessage(p, e)
	}
}

// handleMessage decodes a message and calls the handler with it. A message that
// can't be decoded closes the link.
func (l *Links) handleMessage(p *peer, e event) {
	message, err := l.opts.Codec.Decode(e.data)
	if err != nil {
		l.counts.framesBad.Inc(1)
		l.logError("decode message", p.name, err)
		e.from.closeNow(time.Now(), errors.Wrapf(err, "message from %s", p.name))
		return
	}
	l.counts.message("in", message, len(e.data))
	l.opts.Handler.HandleMessage(p.name, message)
}

// logError logs an error of a peer or an unauthenticated connection, at a bounded
// rate.
func (l *Links) logError(step, peer string, err error) {
	if l.errorLogs.Allow() {
		_ = l.logger.Log("level", "error", "step", step, "peer", peer, "err", err)
	}
}
