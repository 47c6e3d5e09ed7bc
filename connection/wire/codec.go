// Package wire encodes the typed messages that nodes exchange over peer links.
//
// An encoded message is a CBOR array of two items: the kind, a number that
// identifies the type of the message, and the message itself. A struct is encoded
// as an array of its fields, so the order of the fields is part of the protocol.
// Each package that defines messages registers their types in a Codec while the
// node is assembled.
package wire

import (
	"fmt"
	"reflect"
	"sync"

	"github.com/pkg/errors"
	"github.com/ugorji/go/codec"
)

// Kind identifies a message type on the wire. The type of a kind must never
// change.
type Kind uint8

// Envelope is a message with its destination.
type Envelope struct {
	// To is the name of the receiving node.
	To string
	// Message is a pointer to a registered message type.
	Message any
}

// frame is an encoded message: the CBOR array of its kind and its body.
type frame struct {
	Kind Kind
	Body codec.Raw
}

// Codec encodes and decodes registered message types. All types must be
// registered before the first call of Encode or Decode. After that, a Codec is
// safe for concurrent use.
type Codec struct {
	handle *codec.CborHandle
	types  map[Kind]reflect.Type
	kinds  map[reflect.Type]Kind
	// encoders and decoders hold *codec.Encoder and *codec.Decoder for reuse. A new
	// one costs more than the encoding of a short message.
	encoders, decoders sync.Pool
}

// NewCodec returns a Codec without registered types.
func NewCodec() *Codec {
	handle := &codec.CborHandle{}
	handle.Raw = true
	handle.StructToArray = true
	handle.MaxInitLen = 1024
	handle.MaxDepth = 16
	c := &Codec{
		handle: handle,
		types:  make(map[Kind]reflect.Type),
		kinds:  make(map[reflect.Type]Kind),
	}
	c.encoders.New = func() any { return codec.NewEncoderBytes(new([]byte), handle) }
	c.decoders.New = func() any { return codec.NewDecoderBytes(nil, handle) }
	return c
}

// Register registers the type that message points to under a kind. It panics if
// message is not a pointer, or if the kind or the type is already registered, since
// that is a programming error.
func (c *Codec) Register(kind Kind, message any) {
	t := reflect.TypeOf(message)
	if t.Kind() != reflect.Pointer {
		panic(fmt.Sprintf("wire: register kind %d: %s is not a pointer", kind, t))
	}
	if old, ok := c.types[kind]; ok {
		panic(fmt.Sprintf("wire: register kind %d for %s: it is registered for %s", kind, t, old))
	}
	if old, ok := c.kinds[t]; ok {
		panic(fmt.Sprintf("wire: register %s as kind %d: it is registered as kind %d", t, kind, old))
	}
	c.types[kind] = t
	c.kinds[t] = kind
}

// Encode returns the encoding of a message, which must be a pointer to a
// registered type.
func (c *Codec) Encode(message any) ([]byte, error) {
	kind, ok := c.kinds[reflect.TypeOf(message)]
	if !ok {
		return nil, errors.Errorf("encode message: %T is not registered", message)
	}
	encoder := c.encoders.Get().(*codec.Encoder)
	defer c.encoders.Put(encoder)
	var body []byte
	encoder.ResetBytes(&body)
	if err := encoder.Encode(message); err != nil {
		return nil, errors.Wrapf(err, "encode %T", message)
	}
	var out []byte
	encoder.ResetBytes(&out)
	if err := encoder.Encode(&frame{Kind: kind, Body: body}); err != nil {
		return nil, errors.Wrapf(err, "encode frame of %T", message)
	}
	return out, nil
}

// Decode decodes a message and returns a pointer to it. The pointer has the type
// that is registered for the kind of the message.
func (c *Codec) Decode(data []byte) (any, error) {
	decoder := c.decoders.Get().(*codec.Decoder)
	defer c.decoders.Put(decoder)
	var f frame
	decoder.ResetBytes(data)
	if err := decoder.Decode(&f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	t, ok := c.types[f.Kind]
	if !ok {
		return nil, errors.Errorf("decode frame: kind %d is not registered", f.Kind)
	}
	message := reflect.New(t.Elem()).Interface()
	decoder.ResetBytes(f.Body)
	if err := decoder.Decode(message); err != nil {
		return nil, errors.Wrapf(err, "decode %T", message)
	}
	return message, nil
}
