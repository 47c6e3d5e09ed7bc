// Package wire encodes the typed messages that nodes exchange over peer links.
//
// A message on the wire is a CBOR array of two items: the kind, a small number
// that names the message's type, and the message itself. Each package that
// defines messages registers them in a Codec when the node is put together.
package wire

import (
	"fmt"
	"reflect"

	"github.com/pkg/errors"
	"github.com/ugorji/go/codec"
)

// Kind names a message type on the wire. Kinds never change their meaning.
type Kind uint8

// Envelope is a message with the node that it goes to.
type Envelope struct {
	// To is the name of the receiving node.
	To string
	// Message is a pointer to a registered message type.
	Message any
}

// frame is the CBOR array on the wire.
type frame struct {
	Kind Kind
	Body codec.Raw
}

// Codec encodes and decodes registered message types. Register everything
// before the first use; afterwards a Codec is safe for concurrent use.
type Codec struct {
	handle *codec.CborHandle
	types  map[Kind]reflect.Type
	kinds  map[reflect.Type]Kind
}

// NewCodec returns a codec that knows no message yet.
func NewCodec() *Codec {
	handle := &codec.CborHandle{}
	handle.Raw = true
	handle.StructToArray = true
	handle.MaxInitLen = 1024
	handle.MaxDepth = 16
	return &Codec{
		handle: handle,
		types:  make(map[Kind]reflect.Type),
		kinds:  make(map[reflect.Type]Kind),
	}
}

// Register makes kind stand for the type that message points to. It panics on
// a kind or type that is already registered, since that is a mistake in code.
func (c *Codec) Register(kind Kind, message any) {
	t := reflect.TypeOf(message)
	if t.Kind() != reflect.Pointer {
		panic(fmt.Sprintf("wire: register kind %d: %s is not a pointer", kind, t))
	}
	if old, ok := c.types[kind]; ok {
		panic(fmt.Sprintf("wire: register kind %d for %s: it stands for %s", kind, t, old))
	}
	if old, ok := c.kinds[t]; ok {
		panic(fmt.Sprintf("wire: register %s as kind %d: it is kind %d", t, kind, old))
	}
	c.types[kind] = t
	c.kinds[t] = kind
}

// Encode returns the message as CBOR.
func (c *Codec) Encode(message any) ([]byte, error) {
	kind, ok := c.kinds[reflect.TypeOf(message)]
	if !ok {
		return nil, errors.Errorf("encode message: %T is not registered", message)
	}
	var body []byte
	if err := codec.NewEncoderBytes(&body, c.handle).Encode(message); err != nil {
		return nil, errors.Wrapf(err, "encode %T", message)
	}
	var out []byte
	if err := codec.NewEncoderBytes(&out, c.handle).Encode(&frame{Kind: kind, Body: body}); err != nil {
		return nil, errors.Wrapf(err, "encode frame of %T", message)
	}
	return out, nil
}

// Decode returns a pointer to the message that data holds.
func (c *Codec) Decode(data []byte) (any, error) {
	var f frame
	if err := codec.NewDecoderBytes(data, c.handle).Decode(&f); err != nil {
		return nil, errors.Wrap(err, "decode frame")
	}
	t, ok := c.types[f.Kind]
	if !ok {
		return nil, errors.Errorf("decode frame: kind %d is not registered", f.Kind)
	}
	message := reflect.New(t.Elem()).Interface()
	if err := codec.NewDecoderBytes(f.Body, c.handle).Decode(message); err != nil {
		return nil, errors.Wrapf(err, "decode %T", message)
	}
	return message, nil
}
