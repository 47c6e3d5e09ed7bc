package peerlink

import (
	"testing"
	"time"

	"verbenatrestle/connection/wire"
)

// signalHandler signals each received message.
type signalHandler struct{ arrived chan struct{} }

func (w signalHandler) HandleMessage(string, any) { w.arrived <- struct{}{} }
func (w signalHandler) LinkUp(string)             {}
func (w signalHandler) LinkDown(string, error)    {}

// BenchmarkSend sends small messages over one link, with a bounded number in
// flight.
func BenchmarkSend(b *testing.B) {
	arrived := make(chan struct{}, 1024)
	var nodes []*Links
	for _, name := range []string{"y", "z"} {
		codec := wire.NewCodec()
		codec.Register(200, (*testMessage)(nil))
		links, err := New(Options{
			Self:          name,
			ListenAddress: address(name),
			Key:           []byte("0123456789abcdef"),
			Codec:         codec,
			Handler:       signalHandler{arrived},
			Resolve:       func(node string) (string, bool) { return address(node), true },
		})
		if err != nil {
			b.Fatal(err)
		}
		if err := links.Start(); err != nil {
			b.Fatal(err)
		}
		b.Cleanup(func() { stop(links) })
		nodes = append(nodes, links)
	}
	const maxInFlight = 256
	message := &testMessage{Blob: make([]byte, 100)}
	b.ReportAllocs()
	b.SetBytes(100)
	b.ResetTimer()
	inFlight := 0
	for range b.N {
		if inFlight == maxInFlight {
			receive(b, arrived)
			inFlight--
		}
		if err := nodes[0].Send("z", message); err != nil {
			b.Fatal(err)
		}
		inFlight++
	}
	for range inFlight {
		receive(b, arrived)
	}
	b.StopTimer()
}

// receive waits for one message.
func receive(b *testing.B, arrived <-chan struct{}) {
	select {
	case <-arrived:
	case <-time.After(testTimeout):
		b.Fatal("a message did not arrive")
	}
}
