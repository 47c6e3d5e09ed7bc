package node

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// echoUntilClosed answers one byte on each connection that the listener accepts.
func echoUntilClosed(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			_ = l.Close()
			return
		}
		go func() {
			defer conn.Close()
			_, _ = io.CopyN(conn, conn, 1)
		}()
	}
}

// Guards against handshakes that end after the last accept of a planned stop and are reset
// when the socket is closed, with the requests that callers have sent.
func TestDrainingListenerIgnoresNewHandshakes(t *testing.T) {
	l, err := listenDraining("127.8.3.3:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	before, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer before.Close()
	if err := l.ignoreHandshakes(); err != nil {
		t.Fatal(err)
	}
	conn, err := net.DialTimeout("tcp", l.Addr().String(), 100*time.Millisecond)
	if err == nil {
		_ = conn.Close()
	}
	var timeout net.Error
	if !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a new connection ended with %v, want a timeout", err)
	}
	go echoUntilClosed(l)
	if _, err := before.Write([]byte{1}); err != nil {
		t.Error(err)
	}
	if _, err := io.ReadFull(before, make([]byte, 1)); err != nil {
		t.Errorf("an earlier connection got no answer: %v", err)
	}
}
