package peerlink

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"
	"github.com/pkg/errors"
)

// dial opens a link to a peer. It blocks until the link is open or the dial has
// failed, and records the result in the peer.
func (l *Links) dial(p *peer) {
	err := l.dialOnce(p)
	if err == nil {
		p.dialDone()
		return
	}
	now := time.Now()
	if errors.Is(err, ws.StatusError(http.StatusConflict)) && p.dialConflicted(now, l.opts.Limits) {
		return
	}
	err = errors.Wrapf(err, "dial peer %s", p.name)
	dropped, first := p.dialFailed(now, err, l.opts.Limits, rand.Float64())
	l.counts.dialsFailed.Inc(1)
	l.counts.queueDrops.Inc(int64(dropped))
	if first {
		l.logError("dial peer", p.name, err)
	}
}

// dialOnce connects to a peer, does the handshake and registers the connection
// with the event loop.
func (l *Links) dialOnce(p *peer) error {
	address, ok := l.opts.Resolve(p.name)
	if !ok {
		return errors.New("resolve: address is not known")
	}
	timeout := l.opts.Limits.HandshakeTimeout
	conn, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return errors.Wrap(err, "connect")
	}
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		_ = conn.Close()
		return errors.Wrapf(err, "set deadline on %s", address)
	}
	instance, err := l.clientHandshake(conn, p.name, address)
	if err != nil {
		_ = conn.Close()
		return errors.Wrapf(err, "handshake with %s", address)
	}
	return l.register(conn, &link{remote: address, opened: time.Now(), dialled: true, peer: p, instance: instance})
}

// clientHandshake does the dialler's side of the WebSocket handshake and returns
// the instance of the peer's process.
func (l *Links) clientHandshake(conn net.Conn, name, address string) (string, error) {
	own := handshakeMessage{
		node:       l.opts.Self,
		peer:       name,
		instance:   l.instance,
		unixMillis: time.Now().UnixMilli(),
		nonce:      newNonce(),
	}
	own.signature = own.sign(l.opts.Key, roleDialler)
	var response handshakeMessage
	dialer := ws.Dialer{
		Header:   ws.HandshakeHeaderHTTP(own.header()),
		OnHeader: func(key, value []byte) error { return response.set(string(key), string(value)) },
	}
	target := &url.URL{Scheme: "ws", Host: address, Path: "/"}
	if _, _, err := dialer.Upgrade(singleByteReader{conn}, target); err != nil {
		return "", err
	}
	if response.node != name || response.peer != own.node || response.nonce != own.nonce {
		return "", errors.Errorf("response is from %q to %q, expected one from %q", response.node, response.peer, name)
	}
	return response.instance, response.verify(l.opts.Key, roleListener)
}

// register hands a connection to the event loop, which then activates the link.
func (l *Links) register(conn net.Conn, k *link) error {
	if err := conn.SetDeadline(time.Time{}); err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "clear deadline")
	}
	ctx := gnet.NewContext(gnet.NewNetConnContext(context.Background(), conn), k)
	done, err := l.engine.Register(ctx)
	if err != nil {
		_ = conn.Close()
		return errors.Wrap(err, "register with the event loop")
	}
	result := <-done
	return errors.Wrap(result.Err, "register with the event loop")
}

// singleByteReader returns one byte for each Read, so that the buffered reader of
// the handshake never consumes bytes of the frames that follow it.
type singleByteReader struct {
	net.Conn
}

var _ io.ReadWriter = singleByteReader{}

// Read implements io.Reader. It returns at most one byte.
func (r singleByteReader) Read(p []byte) (int, error) {
	return r.Conn.Read(p[:min(1, len(p))])
}
