package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"

	"github.com/pkg/errors"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// Guards against a target that ends the connection of a broken answer in place of a reset, as a close
// does while no byte of the request is unread: an answer without a length is whole then.
func TestBrokenAnswerEndsInAReset(t *testing.T) {
	id := fmt.Sprint("r", brokenMark, 1)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	listener, err := ListenTarget(ctx, "127.0.0.1:0", func() { t.Error("a request counts as malformed") })
	if err != nil {
		t.Fatal(err)
	}
	standin.Serve(ctx, listener, standin.NewTarget(standin.TargetOptions{Instance: "i", Slots: 1, BrokenAnswer: BrokenAnswer}))
	conn, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	head := fmt.Sprintf("%s / HTTP/1.1\r\nHost: h\r\n%s: %s\r\nContent-Length: 1000\r\n\r\n", http.MethodPost, platform.HeaderRequestID, id)
	if _, err := io.WriteString(conn, head); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("after %q: %v, want a reset", answer, err)
	}
}
