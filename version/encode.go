package version

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxEncodedBytes is the size of the largest value that the platform holds.
	MaxEncodedBytes = 1 << 20
	// maxDecodedBytes bounds the document's JSON, in bytes.
	maxDecodedBytes = 16 << 20
	// documentFormat is the newest form of a document that this code knows.
	documentFormat = 1
)

// Encode returns the document as compressed JSON. It refuses a document that
// is larger than the platform's objects may be.
func (d Document) Encode() ([]byte, error) {
	d.Format = documentFormat
	text, err := json.Marshal(d)
	if err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if len(text) > maxDecodedBytes {
		return nil, errors.Errorf("encode configuration: %d bytes of JSON, at most %d are allowed", len(text), maxDecodedBytes)
	}
	var out bytes.Buffer
	compressor := gzip.NewWriter(&out)
	if _, err := compressor.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := compressor.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if out.Len() > MaxEncodedBytes {
		return nil, errors.Errorf("encode configuration: %d bytes compressed, the platform holds at most %d", out.Len(), MaxEncodedBytes)
	}
	return out.Bytes(), nil
}

// Decode reads what Encode wrote. Its cost is bounded whatever data holds.
func Decode(data []byte) (Document, error) {
	if len(data) > MaxEncodedBytes {
		return Document{}, errors.Errorf("decode configuration: %d bytes, at most %d are allowed", len(data), MaxEncodedBytes)
	}
	text, err := decompress(data)
	if err != nil {
		return Document{}, err
	}
	var doc Document
	if err := json.Unmarshal(text, &doc); err != nil {
		return Document{}, errors.Wrap(err, "decode configuration")
	}
	if doc.Format != documentFormat {
		return Document{}, errors.Errorf("decode configuration: format %d is unknown, want %d", doc.Format, documentFormat)
	}
	return doc, nil
}

func decompress(data []byte) ([]byte, error) {
	decompressor, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	text, err := io.ReadAll(io.LimitReader(decompressor, maxDecodedBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(text) > maxDecodedBytes {
		return nil, errors.Errorf("decompress configuration: more than %d bytes", maxDecodedBytes)
	}
	return text, nil
}
