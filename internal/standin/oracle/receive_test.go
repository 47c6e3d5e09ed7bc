package oracle_test

import (
	"context"
	"net"
	"testing"
	"time"

	"verbenatrestle/internal/standin/oracle"
)

func TestQueryIsAnsweredWithItsNumber(t *testing.T) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- oracle.NewServer().Receive(ctx, conn) }()
	caller, err := net.Dial("udp", conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer caller.Close()
	_, _ = caller.Write([]byte(oracle.QueryPrefix + "7"))
	_ = caller.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer := make([]byte, 100)
	n, err := caller.Read(answer)
	if got := string(answer[:n]); err != nil || got != `{"?":"7"}` {
		t.Fatalf("got %s, %v", got, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Fatal(err)
	}
}
