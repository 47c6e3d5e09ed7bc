package target

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// nodeFake is the node's announce listener.
type nodeFake struct {
	announced chan announcement
	drained   chan struct{}
	idle      chan struct{}
}

func (n *nodeFake) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/announce":
		var a announcement
		_ = json.NewDecoder(r.Body).Decode(&a)
		select {
		case n.announced <- a:
		default:
		}
	case "/v1/drain":
		close(n.drained)
		<-n.idle
	}
}

// TestPlannedStopWaitsForTheNode stops a target with a request in flight.
func TestPlannedStopWaitsForTheNode(t *testing.T) {
	node := &nodeFake{announced: make(chan announcement, 1), drained: make(chan struct{}), idle: make(chan struct{})}
	server := httptest.NewServer(node)
	defer server.Close()
	target, err := New(Options{
		Organisation: "kodumala",
		Service:      "entry-filing",
		Address:      "127.0.0.1:0",
		AnnounceURL:  server.URL,
		StartWarm:    true,
		ServiceTime:  200 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- target.Run(ctx) }()
	a := <-node.announced
	if a.Service != "entry-filing" || a.Slots != DefaultSlots || a.Instance == "" {
		t.Fatalf("announced %+v", a)
	}
	answered := make(chan int, 1)
	go func() {
		response, _, err := post(t.Context(), "http://"+a.Address, "k", []byte("entry"))
		if err != nil {
			t.Error(err)
			answered <- 0
			return
		}
		answered <- response.StatusCode
	}()
	eventually(t, "a request in flight", func() bool { return target.Stats().InFlight == 1 })
	stop()
	<-node.drained
	if status := <-answered; status != http.StatusOK {
		t.Fatalf("request in flight got %d", status)
	}
	select {
	case err := <-ended:
		t.Fatalf("ended before the node told that it is idle: %v", err)
	default:
	}
	close(node.idle)
	if err := <-ended; err != nil {
		t.Fatal(err)
	}
}
