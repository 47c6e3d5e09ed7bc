package peerlink

import (
	"bytes"
	"net/http"
	"time"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"
)

// maxRequestBytes is the largest handshake request.
const maxRequestBytes = 4 << 10

// requestStart and requestEnd frame a handshake request.
var (
	requestStart = []byte("GET ")
	requestEnd   = []byte("\r\n\r\n")
)

// readWriter joins a request that has arrived with its answer.
type readWriter struct {
	*bytes.Reader
	*bytes.Buffer
}

// Read reads the request.
func (rw readWriter) Read(p []byte) (int, error) { return rw.Reader.Read(p) }

// Write adds to the answer.
func (rw readWriter) Write(p []byte) (int, error) { return rw.Buffer.Write(p) }

// WriteTo is hidden, since both parts have one.
func (rw readWriter) WriteTo() {}

// readRequest returns the handshake request once it has arrived whole.
func readRequest(in inbound) ([]byte, error) {
	size := min(in.InboundBuffered(), maxRequestBytes)
	if size == 0 {
		return nil, nil
	}
	data, err := in.Peek(size)
	if err != nil {
		return nil, errors.Wrap(err, "read request")
	}
	start := min(size, len(requestStart))
	if !bytes.Equal(data[:start], requestStart[:start]) {
		return nil, errors.New("read request: not an HTTP GET")
	}
	end := bytes.Index(data, requestEnd)
	switch {
	case end >= 0:
		return data[:end+len(requestEnd)], nil
	case size == maxRequestBytes:
		return nil, errors.Errorf("read request: longer than %d bytes", maxRequestBytes)
	}
	return nil, nil
}

// accept answers a dialler's handshake request. The answer is to be sent also
// when the handshake failed.
func (l *Links) accept(request []byte, now time.Time) (hello, *peer, []byte, error) {
	var dialler hello
	var p *peer
	upgrader := ws.Upgrader{
		OnHeader: func(key, value []byte) error { return dialler.set(string(key), string(value)) },
		OnBeforeUpgrade: func() (ws.HandshakeHeader, error) {
			var err error
			p, err = l.admit(&dialler, now)
			if err != nil {
				return nil, err
			}
			return ws.HandshakeHeaderHTTP(l.reply(dialler, now).header()), nil
		},
	}
	rw := readWriter{bytes.NewReader(request), new(bytes.Buffer)}
	_, err := upgrader.Upgrade(rw)
	return dialler, p, rw.Buffer.Bytes(), errors.Wrap(err, "handshake")
}

// reply returns the listener's signed half of the handshake.
func (l *Links) reply(dialler hello, now time.Time) *hello {
	own := &hello{
		node:     l.opts.Self,
		peer:     dialler.node,
		instance: l.instance,
		millis:   now.UnixMilli(),
		nonce:    dialler.nonce,
	}
	own.signature = own.sign(l.opts.Key, roleListener)
	return own
}

// admit checks a dialler's hello. The signature comes first, so that strangers
// learn nothing and fill no memory.
func (l *Links) admit(dialler *hello, now time.Time) (*peer, error) {
	window := l.opts.Limits.MaxClockSkew
	if err := dialler.verify(l.opts.Key, roleDialler); err != nil {
		return nil, reject(http.StatusUnauthorized, err)
	}
	if err := dialler.checkNames(l.opts.Self); err != nil {
		return nil, reject(http.StatusForbidden, err)
	}
	if err := dialler.checkTime(now, window); err != nil {
		return nil, reject(http.StatusUnauthorized, err)
	}
	// A hello from the future stays valid for up to two windows.
	if err := l.nonces.use(dialler.node+" "+dialler.nonce, now, 2*window); err != nil {
		return nil, reject(http.StatusUnauthorized, err)
	}
	p, err := l.lockedPeer(dialler.node)
	if err != nil {
		return nil, reject(http.StatusServiceUnavailable, err)
	}
	defer p.mu.Unlock()
	until := now.Add(l.opts.Limits.HandshakeTimeout)
	if err := p.admits(l.opts.Self, dialler.instance, until); err != nil {
		return nil, reject(http.StatusConflict, err)
	}
	return p, nil
}

// reject makes an error that the upgrader answers with an HTTP status.
func reject(status int, err error) error {
	return ws.RejectConnectionError(ws.RejectionStatus(status), ws.RejectionReason(err.Error()))
}
