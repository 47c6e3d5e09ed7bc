package peerlink

import (
	"net/http"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

// events receives the calls of the gnet engine. OnOpen, OnTraffic and OnClose
// of one connection run on its event loop, one at a time.
type events struct {
	gnet.BuiltinEventEngine
	links *Links
}

// OnBoot keeps the engine.
func (e *events) OnBoot(engine gnet.Engine) gnet.Action {
	e.links.engine = engine
	return gnet.None
}

// OnTick looks the links over. The first call says that the engine runs.
func (e *events) OnTick() (time.Duration, gnet.Action) {
	e.links.boot.Do(e.links.began)
	e.links.sweep(time.Now())
	return sweepInterval, gnet.None
}

// OnOpen takes a new connection: a link that this node dialled, or a stranger.
func (e *events) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	k, dialled := conn.Context().(*link)
	if !dialled {
		k = &link{opened: time.Now(), remote: conn.RemoteAddr().String()}
		conn.SetContext(k)
	}
	k.conn = conn
	if !e.links.add(k) {
		return nil, gnet.Close
	}
	if dialled {
		e.links.open(k)
	}
	return nil, gnet.None
}

// OnTraffic reads what has arrived, then writes what waits. It is also called
// after a wake, without new bytes.
func (e *events) OnTraffic(conn gnet.Conn) gnet.Action {
	k, ok := conn.Context().(*link)
	if !ok {
		return gnet.Close
	}
	k.woken.Store(false)
	now := time.Now()
	if err := e.links.traffic(k, now); err != nil {
		e.links.broken(k, now, err)
		return gnet.Close
	}
	return gnet.None
}

// OnClose forgets a connection.
func (e *events) OnClose(conn gnet.Conn, err error) gnet.Action {
	if k, ok := conn.Context().(*link); ok {
		e.links.remove(k, err)
	}
	return gnet.None
}

// errGone ends a link whose peer has said goodbye.
var errGone = errors.New("peer closed the link")

// traffic does one round of reading and writing.
func (l *Links) traffic(k *link, now time.Time) error {
	if k.peer == nil {
		if err := l.handshake(k, now); err != nil || k.peer == nil {
			return err
		}
	}
	before := k.conn.InboundBuffered()
	if err := l.readFrames(k, now); err != nil {
		return err
	}
	l.counts.wireIn.Inc(int64(before - k.conn.InboundBuffered()))
	return l.flush(k, now)
}

// handshake answers an accepted connection's request when it is whole.
func (l *Links) handshake(k *link, now time.Time) error {
	request, err := readRequest(k.conn)
	if err != nil || request == nil {
		return err
	}
	size := len(request)
	dialler, p, answer, err := l.accept(request, now)
	if _, writeErr := k.conn.Write(answer); writeErr != nil && err == nil {
		err = errors.Wrap(writeErr, "answer handshake")
	}
	if err != nil {
		return errors.Wrapf(err, "dial by %q", dialler.node)
	}
	if _, err := k.conn.Discard(size); err != nil {
		return errors.Wrap(err, "take handshake")
	}
	l.mu.Lock()
	k.peer = p
	k.instance = dialler.instance
	l.pending--
	l.mu.Unlock()
	l.open(k)
	return nil
}

// open makes a link whose handshake is done its peer's link.
func (l *Links) open(k *link) {
	now := time.Now()
	state := ws.StateServerSide
	if k.dialled {
		state = ws.StateClientSide
	}
	k.reader = frameReader{state: state, maxBytes: l.opts.Limits.MaxMessageBytes}
	k.writer = frameWriter{masked: k.dialled}
	k.heard.Store(k.since(now))
	k.used.Store(k.since(now))
	if loser := k.peer.attach(l.opts.Self, k); loser != nil {
		loser.part(now, nil)
	}
	k.wake()
}

// readFrames works off every frame that has arrived whole.
func (l *Links) readFrames(k *link, now time.Time) error {
	if k.conn.InboundBuffered() > 0 {
		k.heard.Store(k.since(now))
	}
	for {
		f, ok, err := k.reader.read(k.conn)
		if err != nil || !ok {
			return err
		}
		if err := l.take(k, now, f); err != nil {
			return err
		}
	}
}

// take acts on one frame.
func (l *Links) take(k *link, now time.Time, f frame) error {
	switch f.op {
	case ws.OpBinary:
		k.used.Store(k.since(now))
		if !k.peer.inbox.push(event{data: f.payload, from: k}) {
			l.counts.inboxDrops.Inc(1)
		}
		return nil
	case ws.OpPing:
		n, err := k.write(ws.OpPong, f.payload)
		l.counts.wireOut.Inc(int64(n))
		return err
	case ws.OpClose:
		return l.closedByPeer(k, now, f)
	}
	return nil
}

// closedByPeer ends a link on the peer's close frame, and answers the frame
// unless it is itself an answer.
func (l *Links) closedByPeer(k *link, now time.Time, f frame) error {
	if parting, _ := k.parting(); !parting {
		code, _ := ws.ParseCloseFrameData(f.payload)
		k.mu.Lock()
		k.closing = true
		k.closedAt = now
		if code == ws.StatusGoingAway {
			k.reason = errors.Wrapf(ErrStopped, "link to %s", k.peer.name)
		}
		k.mu.Unlock()
		k.peer.detach(k, k.cause(nil))
		if _, err := k.write(ws.OpClose, f.payload); err != nil {
			return err
		}
	}
	return errGone
}

// flush writes what waits for the peer, as far as the connection takes it.
func (l *Links) flush(k *link, now time.Time) error {
	for k.conn.OutboundBuffered() < maxUnsent {
		data, ok := k.peer.pop(k)
		if !ok {
			break
		}
		k.used.Store(k.since(now))
		n, err := k.write(ws.OpBinary, data)
		l.counts.wireOut.Inc(int64(n))
		if err != nil {
			return err
		}
	}
	if k.pinging.Swap(false) {
		n, err := k.write(ws.OpPing, nil)
		l.counts.wireOut.Inc(int64(n))
		if err != nil {
			return err
		}
	}
	if k.conn.OutboundBuffered() >= maxUnsent && k.peer.waiting() {
		return nil
	}
	return l.sayGoodbye(k, now)
}

// sayGoodbye sends the close frame that part has asked for. The link stops
// being the peer's only now, after what waited was sent.
func (l *Links) sayGoodbye(k *link, now time.Time) error {
	if !k.takeGoodbye() {
		return nil
	}
	code := ws.StatusNormalClosure
	if errors.Is(k.cause(nil), ErrStopped) {
		code = ws.StatusGoingAway
	}
	_, err := k.write(ws.OpClose, ws.NewCloseFrameBody(code, ""))
	k.peer.detach(k, k.cause(nil))
	return err
}

// broken logs and counts why a connection is closed on what it sent.
func (l *Links) broken(k *link, now time.Time, err error) {
	if errors.Is(err, errGone) {
		return
	}
	k.fail(now, err)
	if k.peer == nil {
		if crossed(err) {
			return
		}
		l.counts.handshakesFailed.Inc(1)
		l.logBad("accept handshake", k.remote, err)
		return
	}
	l.counts.framesBad.Inc(1)
	l.logBad("read frames", k.peer.name, err)
}

// crossed reports whether a dial was refused because it crossed this node's
// own, which is no fault.
func crossed(err error) bool {
	var rejected *ws.ConnectionRejectedError
	return errors.As(err, &rejected) && rejected.StatusCode() == http.StatusConflict
}

// add keeps a connection, within the bound on strangers.
func (l *Links) add(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running || (k.peer == nil && l.pending >= l.opts.Limits.MaxPendingHandshakes) {
		return false
	}
	if k.peer == nil {
		l.pending++
	}
	l.links[k] = struct{}{}
	l.counts.links.Update(int64(len(l.links)))
	return true
}

// remove forgets a connection that has closed.
func (l *Links) remove(k *link, err error) {
	l.mu.Lock()
	if _, ok := l.links[k]; ok && k.peer == nil {
		l.pending--
	}
	delete(l.links, k)
	l.counts.links.Update(int64(len(l.links)))
	l.mu.Unlock()
	if k.peer != nil {
		k.peer.detach(k, k.cause(err))
	}
}
