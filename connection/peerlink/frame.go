package peerlink

import (
	"bytes"
	"io"

	"github.com/gobwas/ws"
	"github.com/pkg/errors"
)

// inboundBuffer is the receive buffer of a gnet connection.
type inboundBuffer interface {
	// InboundBuffered returns the number of bytes in the buffer.
	InboundBuffered() int
	// Peek returns the next n bytes and leaves them in the buffer.
	Peek(n int) ([]byte, error)
	// Discard removes the next n bytes. n must not be 0.
	Discard(n int) (int, error)
}

// frame is a complete WebSocket frame, unmasked.
type frame struct {
	op      ws.OpCode
	payload []byte
}

// frameReader reads complete frames of bounded size.
type frameReader struct {
	// state is this node's side of the protocol, client or server.
	state ws.State
	// maxBytes is the largest accepted payload.
	maxBytes int
}

// read removes the next frame from the buffer and returns it. While the frame is
// incomplete, it returns false and leaves the buffer unchanged.
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

// header reads and checks the header of the next frame, and leaves it in the
// buffer. It also returns the size of the header in bytes, which is 0 while the
// header is incomplete. ws.HeaderSize can't give that size: it is wrong if the
// peer encoded the payload length in a longer form than needed.
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

// check returns an error for a header that violates the protocol, or that
// announces a frame that this package does not support.
func (r frameReader) check(header ws.Header) error {
	if err := ws.CheckHeader(header, r.state); err != nil {
		return errors.Wrap(err, "check frame header")
	}
	switch {
	case header.Length > int64(r.maxBytes):
		return errors.Errorf("check frame header: %d bytes exceed the limit of %d", header.Length, r.maxBytes)
	case !header.Fin || header.OpCode == ws.OpContinuation:
		return errors.New("check frame header: fragmented messages are not supported")
	case header.OpCode == ws.OpText:
		return errors.New("check frame header: text messages are not supported")
	}
	return nil
}

// frameWriter encodes frames.
type frameWriter struct {
	// masked is set on the dialling side, as the WebSocket protocol requires.
	masked bool
}

// build returns the encoded frame. It does not change payload.
func (w frameWriter) build(op ws.OpCode, payload []byte) []byte {
	header := ws.Header{Fin: true, OpCode: op, Length: int64(len(payload)), Masked: w.masked}
	if w.masked {
		header.Mask = ws.NewMask()
	}
	var out bytes.Buffer
	out.Grow(ws.HeaderSize(header) + len(payload))
	// Writes to a bytes.Buffer never fail, and the length is never negative.
	_ = ws.WriteHeader(&out, header)
	start := out.Len()
	out.Write(payload)
	if w.masked {
		ws.Cipher(out.Bytes()[start:], header.Mask, 0)
	}
	return out.Bytes()
}
