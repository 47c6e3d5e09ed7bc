package wire

import (
	"bytes"
	"strings"
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

// Encoders and decoders are reused. A message that can't be decoded must not change
// the result of the next one, and messages decoded earlier must keep their content.
func TestReusedDecodersKeepMessagesApart(t *testing.T) {
	c := newSampleCodec()
	var decoded []*sampleMessage
	for i := range 20 {
		in := &sampleMessage{Name: strings.Repeat("n", i), Numbers: make([]uint64, i%3), Blob: bytes.Repeat([]byte{byte(i)}, i)}
		data, err := c.Encode(in)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Decode(data[:len(data)-1]); err == nil {
			t.Fatal("a truncated message was decoded")
		}
		out, err := c.Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		clear(data)
		decoded = append(decoded, out.(*sampleMessage))
	}
	for i, m := range decoded {
		if m.Name != strings.Repeat("n", i) || len(m.Numbers) != i%3 || !bytes.Equal(m.Blob, bytes.Repeat([]byte{byte(i)}, i)) {
			t.Errorf("message %d is %+v", i, m)
		}
	}
}

func BenchmarkCodec(b *testing.B) {
	c := newSampleCodec()
	in := &sampleMessage{Numbers: []uint64{1 << 63, 1000, 5, 0, 100, 200, 3}}
	data, err := c.Encode(in)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = c.Encode(in)
		}
	})
	b.Run("decode", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			_, _ = c.Decode(data)
		}
	})
}
