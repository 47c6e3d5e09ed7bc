package peerlink

import (
	"net/http"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

// eventHandler implements gnet.EventHandler. gnet calls OnOpen, OnTraffic and
// OnClose of a connection one at a time on its event loop.
type eventHandler struct {
	gnet.BuiltinEventEngine
	links *Links
}

// OnBoot stores the engine.
func (e *eventHandler) OnBoot(engine gnet.Engine) gnet.Action {
	e.links.engine = engine
	return gnet.None
}

// OnTick checks all links and peers periodically. Its first call marks the links
// as started, since the engine is running then.
func (e *eventHandler) OnTick() (time.Duration, gnet.Action) {
	e.links.startOnce.Do(e.links.markStarted)
	e.links.sweep(time.Now())
	return sweepInterval, gnet.None
}

// OnOpen adds a new connection: a link that this node dialled, or an accepted
// connection that is not authenticated yet.
func (e *eventHandler) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
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
		e.links.activate(k)
	}
	return nil, gnet.None
}

// OnTraffic reads the received frames, then writes the queued messages. It is
// also called without new bytes after a wake.
func (e *eventHandler) OnTraffic(conn gnet.Conn) gnet.Action {
	k, ok := conn.Context().(*link)
	if !ok {
		return gnet.Close
	}
	k.wakePending.Store(false)
	now := time.Now()
	if err := e.links.readAndWrite(k, now); err != nil {
		e.links.reportFailure(k, now, err)
		return gnet.Close
	}
	return gnet.None
}

// OnClose removes a closed connection.
func (e *eventHandler) OnClose(conn gnet.Conn, err error) gnet.Action {
	if k, ok := conn.Context().(*link); ok {
		e.links.remove(k, err)
	}
	return gnet.None
}

// errClosedByPeer makes OnTraffic close a link after the peer's close frame.
var errClosedByPeer = errors.New("peer closed the link")

// readAndWrite handles the handshake if it is not done, and then the received
// frames and the queued messages.
func (l *Links) readAndWrite(k *link, now time.Time) error {
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

// handshake answers the handshake request of an accepted connection once the
// request is complete, and then activates the link.
func (l *Links) handshake(k *link, now time.Time) error {
	request, err := peekHandshakeRequest(k.conn)
	if err != nil || request == nil {
		return err
	}
	size := len(request)
	dialler, p, response, err := l.accept(request, now)
	if _, writeErr := k.conn.Write(response); writeErr != nil && err == nil {
		err = errors.Wrap(writeErr, "write handshake response")
	}
	if err != nil {
		return errors.Wrapf(err, "dial from %q", dialler.node)
	}
	if _, err := k.conn.Discard(size); err != nil {
		return errors.Wrap(err, "discard handshake request")
	}
	l.mu.Lock()
	k.peer = p
	k.instance = dialler.instance
	l.pendingHandshakes--
	l.mu.Unlock()
	l.activate(k)
	return nil
}

// activate makes a link the active link of its peer, after its handshake. It
// closes the link that is superseded, which may be the new one.
func (l *Links) activate(k *link) {
	now := time.Now()
	state := ws.StateServerSide
	if k.dialled {
		state = ws.StateClientSide
	}
	k.reader = frameReader{state: state, maxBytes: l.opts.Limits.MaxMessageBytes}
	k.writer = frameWriter{masked: k.dialled}
	k.lastReceived.Store(k.since(now))
	k.lastMessage.Store(k.since(now))
	if superseded := k.peer.attach(l.opts.Self, k); superseded != nil {
		superseded.beginClose(now, nil)
	}
	k.wake()
}

// readFrames handles every complete frame in the receive buffer.
func (l *Links) readFrames(k *link, now time.Time) error {
	if k.conn.InboundBuffered() > 0 {
		k.lastReceived.Store(k.since(now))
	}
	for {
		f, ok, err := k.reader.read(k.conn)
		if err != nil || !ok {
			return err
		}
		if err := l.handleFrame(k, now, f); err != nil {
			return err
		}
	}
}

// handleFrame handles one frame. Messages go to the peer's inbox, and are dropped
// and counted if it is full.
func (l *Links) handleFrame(k *link, now time.Time, f frame) error {
	switch f.op {
	case ws.OpBinary:
		k.lastMessage.Store(k.since(now))
		if !k.peer.inbox.push(event{data: f.payload, from: k}) {
			l.counts.inboxDrops.Inc(1)
		}
		return nil
	case ws.OpPing:
		n, err := k.writeFrame(ws.OpPong, f.payload)
		l.counts.wireOut.Inc(int64(n))
		return err
	case ws.OpClose:
		return l.handleCloseFrame(k, now, f)
	}
	return nil
}

// handleCloseFrame handles the peer's close frame. If the peer began the close,
// it echoes the frame. It always returns an error, which closes the link.
func (l *Links) handleCloseFrame(k *link, now time.Time, f frame) error {
	if closing, _ := k.closingState(); !closing {
		code, _ := ws.ParseCloseFrameData(f.payload)
		k.mu.Lock()
		k.closing = true
		k.closingSince = now
		if code == ws.StatusGoingAway {
			k.reason = errors.Wrapf(ErrStopped, "link to %s", k.peer.name)
		}
		k.mu.Unlock()
		k.peer.detach(k, k.closeReason(nil))
		if _, err := k.writeFrame(ws.OpClose, f.payload); err != nil {
			return err
		}
	}
	return errClosedByPeer
}

// flush writes queued messages while less than maxOutboundBytes are unsent, then
// a pending ping, and a pending close frame once the queue is written.
func (l *Links) flush(k *link, now time.Time) error {
	for k.conn.OutboundBuffered() < maxOutboundBytes {
		data, ok := k.peer.dequeue(k)
		if !ok {
			break
		}
		k.lastMessage.Store(k.since(now))
		n, err := k.writeFrame(ws.OpBinary, data)
		l.counts.wireOut.Inc(int64(n))
		if err != nil {
			return err
		}
	}
	if k.pingPending.Swap(false) {
		n, err := k.writeFrame(ws.OpPing, nil)
		l.counts.wireOut.Inc(int64(n))
		if err != nil {
			return err
		}
	}
	if k.conn.OutboundBuffered() >= maxOutboundBytes && k.peer.hasQueued() {
		return nil
	}
	return l.sendCloseFrame(k, now)
}

// sendCloseFrame sends the close frame that beginClose requested, if any. Only
// then is the link detached from its peer, so that queued messages are still
// sent.
func (l *Links) sendCloseFrame(k *link, now time.Time) error {
	if !k.takeCloseFrame() {
		return nil
	}
	code := ws.StatusNormalClosure
	if errors.Is(k.closeReason(nil), ErrStopped) {
		code = ws.StatusGoingAway
	}
	_, err := k.writeFrame(ws.OpClose, ws.NewCloseFrameBody(code, ""))
	k.peer.detach(k, k.closeReason(nil))
	return err
}

// reportFailure logs and counts the error for which a connection is closed. A
// close frame of the peer and a dial conflict are no errors.
func (l *Links) reportFailure(k *link, now time.Time, err error) {
	if errors.Is(err, errClosedByPeer) {
		return
	}
	k.closeNow(now, err)
	if k.peer == nil {
		if isDialConflict(err) {
			return
		}
		l.counts.handshakesFailed.Inc(1)
		l.logError("accept handshake", k.remote, err)
		return
	}
	l.counts.framesBad.Inc(1)
	l.logError("read frames", k.peer.name, err)
}

// isDialConflict reports whether a dial was refused because this node dials the
// same peer. That is not an error.
func isDialConflict(err error) bool {
	var rejected *ws.ConnectionRejectedError
	return errors.As(err, &rejected) && rejected.StatusCode() == http.StatusConflict
}

// add adds a connection. It returns false if the links are stopped or too many
// accepted connections are in their handshake.
func (l *Links) add(k *link) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.running || (k.peer == nil && l.pendingHandshakes >= l.opts.Limits.MaxPendingHandshakes) {
		return false
	}
	if k.peer == nil {
		l.pendingHandshakes++
	}
	l.links[k] = struct{}{}
	l.counts.links.Update(int64(len(l.links)))
	return true
}

// remove removes a closed connection and detaches it from its peer.
func (l *Links) remove(k *link, err error) {
	l.mu.Lock()
	if _, ok := l.links[k]; ok && k.peer == nil {
		l.pendingHandshakes--
	}
	delete(l.links, k)
	l.counts.links.Update(int64(len(l.links)))
	l.mu.Unlock()
	if k.peer != nil {
		k.peer.detach(k, k.closeReason(err))
	}
}
