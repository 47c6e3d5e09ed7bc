package peerlink

import (
	"bytes"
	"net/http"
	"time"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"
)

// maxHandshakeRequestBytes is the largest accepted handshake request.
const maxHandshakeRequestBytes = 4 << 10

// A handshake request begins with handshakeRequestStart and ends with
// handshakeRequestEnd.
var (
	handshakeRequestStart = []byte("GET ")
	handshakeRequestEnd   = []byte("\r\n\r\n")
)

// upgradeBuffer is the io.ReadWriter of one WebSocket upgrade: it reads from a
// received request and collects the response.
type upgradeBuffer struct {
	*bytes.Reader
	*bytes.Buffer
}

// Read reads from the request.
func (rw upgradeBuffer) Read(p []byte) (int, error) { return rw.Reader.Read(p) }

// Write appends to the response.
func (rw upgradeBuffer) Write(p []byte) (int, error) { return rw.Buffer.Write(p) }

// WriteTo hides the WriteTo methods of the embedded types, which would make
// upgradeBuffer ambiguous.
func (rw upgradeBuffer) WriteTo() {}

// peekHandshakeRequest returns the handshake request without removing it from
// the buffer, or nil while it is incomplete. It fails on data that can't be a
// handshake request.
func peekHandshakeRequest(in inboundBuffer) ([]byte, error) {
	size := min(in.InboundBuffered(), maxHandshakeRequestBytes)
	if size == 0 {
		return nil, nil
	}
	data, err := in.Peek(size)
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	start := min(size, len(handshakeRequestStart))
	if !bytes.Equal(data[:start], handshakeRequestStart[:start]) {
		return nil, errors.New("read request: not an HTTP GET")
	}
	end := bytes.Index(data, handshakeRequestEnd)
	switch {
	case end >= 0:
		return data[:end+len(handshakeRequestEnd)], nil
	case size == maxHandshakeRequestBytes:
		return nil, errors.Errorf("read request: longer than %d bytes", maxHandshakeRequestBytes)
	}
	return nil, nil
}

// accept handles a dialler's handshake request. It returns the dialler's message,
// its peer entry, and the HTTP response, which must be sent even if the handshake
// failed.
func (l *Links) accept(request []byte, now time.Time) (handshakeMessage, *peer, []byte, error) {
	var dialler handshakeMessage
	var p *peer
	upgrader := ws.Upgrader{
		OnHeader: func(key, value []byte) error { return dialler.set(string(key), string(value)) },
		OnBeforeUpgrade: func() (ws.HandshakeHeader, error) {
			var err error
			p, err = l.admit(&dialler, now)
			if err != nil {
				return nil, err
			}
			return ws.HandshakeHeaderHTTP(l.newReply(dialler, now).header()), nil
		},
	}
	rw := upgradeBuffer{bytes.NewReader(request), new(bytes.Buffer)}
	_, err := upgrader.Upgrade(rw)
	return dialler, p, rw.Buffer.Bytes(), errors.Wrap(err, "handshake")
}

// newReply returns the listener's signed message of the handshake. It repeats the
// dialler's nonce.
func (l *Links) newReply(dialler handshakeMessage, now time.Time) *handshakeMessage {
	own := &handshakeMessage{
		node:       l.opts.Self,
		peer:       dialler.node,
		instance:   l.instance,
		unixMillis: now.UnixMilli(),
		nonce:      dialler.nonce,
	}
	own.signature = own.sign(l.opts.Key, roleListener)
	return own
}

// admit checks a dialler's handshake message. The signature is checked first, so
// that a sender without the peer key learns nothing and uses no memory.
func (l *Links) admit(dialler *handshakeMessage, now time.Time) (*peer, error) {
	maxSkew := l.opts.Limits.MaxClockSkew
	if err := dialler.verify(l.opts.Key, roleDialler); err != nil {
		return nil, reject(http.StatusUnauthorized, err)
	}
	if err := dialler.checkNames(l.opts.Self); err != nil {
		return nil, reject(http.StatusForbidden, err)
	}
	if err := dialler.checkTime(now, maxSkew); err != nil {
		return nil, reject(http.StatusUnauthorized, err)
	}
	// A message from a dialler whose clock is ahead passes the check of the clock
	// for up to twice the allowed skew.
	if err := l.nonces.add(dialler.node+" "+dialler.nonce, now, 2*maxSkew); err != nil {
		return nil, reject(http.StatusUnauthorized, err)
	}
	p, err := l.lockedPeer(dialler.node)
	if err != nil {
		return nil, reject(http.StatusServiceUnavailable, err)
	}
	defer p.mu.Unlock()
	until := now.Add(l.opts.Limits.HandshakeTimeout)
	if err := p.admitDial(l.opts.Self, dialler.instance, until); err != nil {
		return nil, reject(http.StatusConflict, err)
	}
	return p, nil
}

// reject returns an error for which the upgrader sends the HTTP status, and the
// text of err as the response body. These texts are thus part of the protocol
// between nodes.
func reject(status int, err error) error {
	return ws.RejectConnectionError(ws.RejectionStatus(status), ws.RejectionReason(err.Error()))
}
