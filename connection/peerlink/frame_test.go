package peerlink

import (
	"bytes"
	"io"
	"testing"

	"github.com/gobwas/ws"
)

// bufferedInput is an inboundBuffer with fixed contents.
type bufferedInput struct{ data []byte }

func (b *bufferedInput) InboundBuffered() int { return len(b.data) }

func (b *bufferedInput) Peek(n int) ([]byte, error) {
	if n > len(b.data) {
		return nil, io.ErrShortBuffer
	}
	return b.data[:n], nil
}

func (b *bufferedInput) Discard(n int) (int, error) {
	b.data = b.data[n:]
	return n, nil
}

// FuzzFrames compares frameReader with the reader of the WebSocket library on any
// input: it must never consume more than one frame, and each frame that it reads
// must equal that of the library.
func FuzzFrames(f *testing.F) {
	const limit = 1 << 12
	f.Add(frameWriter{masked: true}.build(ws.OpBinary, []byte("message")), true)
	f.Add(frameWriter{}.build(ws.OpPing, nil), false)
	f.Add([]byte{0x82, 126, 0, 2, 'l', 'o', 0x89, 0}, false) // length in a longer form than needed
	f.Add([]byte{0x82, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4}, true)
	f.Fuzz(func(t *testing.T, data []byte, server bool) {
		reader := frameReader{state: ws.StateClientSide, maxBytes: limit}
		if server {
			reader.state = ws.StateServerSide
		}
		in := &bufferedInput{data: data}
		reference := bytes.NewReader(data)
		for {
			got, ok, err := reader.read(in)
			if err != nil || !ok {
				return
			}
			header, err := ws.ReadHeader(reference)
			if err != nil || header.Length > limit {
				t.Fatalf("accepted a frame of %d bytes, but the library returns %v", header.Length, err)
			}
			want := make([]byte, header.Length)
			if _, err := io.ReadFull(reference, want); err != nil {
				t.Fatalf("accepted an incomplete frame: %v", err)
			}
			if header.Masked {
				ws.Cipher(want, header.Mask, 0)
			}
			if got.op != header.OpCode || !bytes.Equal(got.payload, want) || reference.Len() != len(in.data) {
				t.Fatalf("got %v %q, want %v %q", got.op, got.payload, header.OpCode, want)
			}
		}
	})
}

func TestFrameReaderRefuses(t *testing.T) {
	reader := frameReader{state: ws.StateServerSide, maxBytes: 100}
	writer := frameWriter{masked: true}
	cases := map[string][]byte{
		"unmasked":   frameWriter{}.build(ws.OpBinary, []byte("x")),
		"text":       writer.build(ws.OpText, []byte("x")),
		"fragment":   append([]byte{0x02}, writer.build(ws.OpBinary, []byte("x"))[1:]...),
		"too long":   writer.build(ws.OpBinary, make([]byte, 101))[:8],
		"reserved":   writer.build(ws.OpCode(5), nil),
		"negative":   {0x82, 0xff, 0xff, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4},
		"long pings": writer.build(ws.OpPing, make([]byte, 126)),
	}
	for name, data := range cases {
		if _, ok, err := reader.read(&bufferedInput{data: data}); err == nil {
			t.Errorf("%s: accepted (complete: %v)", name, ok)
		}
	}
}
