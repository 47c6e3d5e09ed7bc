package wire

import (
	"bytes"
	"testing"
	"time"
)

type sampleMessage struct {
	Name    string
	Numbers []uint64
	At      time.Duration
	Blob    []byte
}

func newSampleCodec() *Codec {
	c := NewCodec()
	c.Register(1, (*sampleMessage)(nil))
	return c
}

func TestCodecRoundTrip(t *testing.T) {
	c := newSampleCodec()
	in := &sampleMessage{Name: "n", Numbers: []uint64{1, 1 << 60}, At: time.Second, Blob: []byte{0, 255}}
	data, err := c.Encode(in)
	if err != nil {
		t.Fatal(err)
	}
	out, err := c.Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	got := out.(*sampleMessage)
	if got.Name != in.Name || got.At != in.At || !bytes.Equal(got.Blob, in.Blob) || got.Numbers[1] != in.Numbers[1] {
		t.Fatalf("got %+v, want %+v", got, in)
	}
}

func FuzzDecode(f *testing.F) {
	c := newSampleCodec()
	data, err := c.Encode(&sampleMessage{Name: "n", Numbers: []uint64{7}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		message, err := c.Decode(data)
		if err == nil && message == nil {
			t.Fatal("no message and no error")
		}
	})
}
