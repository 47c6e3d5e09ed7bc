package peerlink

import (
	"bytes"
	"io"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"
)

// inboundBuffer is the part of a gnet connection that the frame reader uses.
type inboundBuffer interface {
	// InboundBuffered returns how many bytes have arrived.
	InboundBuffered() int
	// Peek returns the next n bytes without taking them.
	Peek(n int) ([]byte, error)
	// Discard takes the next n bytes; n must not be 0.
	Discard(n int) (int, error)
}

// frame is one whole WebSocket frame, unmasked.
type frame struct {
	op      ws.OpCode
	payload []byte
}

// frameReader reads whole frames of bounded size.
type frameReader struct {
	// state says which side of the protocol this node is on.
	state ws.State
	// maxBytes is the largest payload.
	maxBytes int
}

// read takes the next frame off in. It returns false when the frame has not
// arrived whole; it then has taken nothing.
func (r frameReader) read(in inboundBuffer) (frame, bool, error) {
	header, headerBytes, err := r.header(in)
	if headerBytes == 0 || err != nil {
		return frame{}, false, err
	}
	frameBytes := headerBytes + int(header.Length)
	if in.InboundBuffered() < frameBytes {
		return frame{}, false, nil
	}
	data, err := in.Peek(frameBytes)
	if err != nil {
		return frame{}, false, errors.Wrap(err, "read frame")
	}
	payload := bytes.Clone(data[headerBytes:])
	if header.Masked {
		ws.Cipher(payload, header.Mask, 0)
	}
	if _, err := in.Discard(frameBytes); err != nil {
		return frame{}, false, errors.Wrap(err, "read frame")
	}
	return frame{op: header.OpCode, payload: payload}, true, nil
}

// header reads and checks the next frame's header. It returns the header's
// length in bytes, 0 when it has not arrived whole. The length isn't taken from
// ws.HeaderSize, which is wrong for lengths that a peer wrote in a longer form
// than needed.
func (r frameReader) header(in inboundBuffer) (ws.Header, int, error) {
	size := min(ws.MaxHeaderSize, in.InboundBuffered())
	if size == 0 {
		return ws.Header{}, 0, nil
	}
	data, err := in.Peek(size)
	if err != nil {
		return ws.Header{}, 0, errors.Wrap(err, "read frame header")
	}
	reader := bytes.NewReader(data)
	header, err := ws.ReadHeader(reader)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return ws.Header{}, 0, nil
	}
	if err != nil {
		return ws.Header{}, 0, errors.Wrap(err, "read frame header")
	}
	return header, size - reader.Len(), r.check(header)
}

// check reports what in a header this package doesn't take.
func (r frameReader) check(header ws.Header) error {
	if err := ws.CheckHeader(header, r.state); err != nil {
		return errors.Wrap(err, "check frame header")
	}
	switch {
	case header.Length > int64(r.maxBytes):
		return errors.Errorf("check frame header: %d bytes exceed the limit of %d", header.Length, r.maxBytes)
	case !header.Fin || header.OpCode == ws.OpContinuation:
		return errors.New("check frame header: fragmented messages are not taken")
	case header.OpCode == ws.OpText:
		return errors.New("check frame header: text messages are not taken")
	}
	return nil
}

// frameWriter builds frames.
type frameWriter struct {
	// masked is set on the dialling side, as the protocol wants.
	masked bool
}

// build returns the frame's bytes; payload is left as it is.
func (w frameWriter) build(op ws.OpCode, payload []byte) []byte {
	header := ws.Header{Fin: true, OpCode: op, Length: int64(len(payload)), Masked: w.masked}
	if w.masked {
		header.Mask = ws.NewMask()
	}
	var out bytes.Buffer
	out.Grow(ws.HeaderSize(header) + len(payload))
	// A bytes.Buffer takes every write, and the length is never negative.
	_ = ws.WriteHeader(&out, header)
	start := out.Len()
	out.Write(payload)
	if w.masked {
		ws.Cipher(out.Bytes()[start:], header.Mask, 0)
	}
	return out.Bytes()
}
