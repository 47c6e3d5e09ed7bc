package version

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"

	"github.com/pkg/errors"
)

const (
	// MaxEncodedBytes is the size of the largest value that the platform
	// stores, in bytes.
	MaxEncodedBytes = 1 << 20
	// maxDecodedBytes bounds the size of a document as JSON, in bytes.
	maxDecodedBytes = 16 << 20
	// documentFormat is the value of Document.Format that Encode writes, and the
	// only one that Decode accepts.
	documentFormat = 1
)

// Encode returns the document as gzip-compressed JSON. It fails if the JSON is
// larger than 16 MiB or the compressed document is larger than MaxEncodedBytes.
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
		return nil, errors.Errorf("encode configuration: %d bytes compressed, at most %d are allowed by the platform", out.Len(), MaxEncodedBytes)
	}
	return out.Bytes(), nil
}

// Decode decodes the output of Encode. It rejects data that is larger than
// MaxEncodedBytes or decompresses to more than 16 MiB, so its cost is bounded
// for untrusted data.
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
		return Document{}, errors.Errorf("decode configuration: unsupported format %d, want %d", doc.Format, documentFormat)
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
		return nil, errors.Errorf("decompress configuration: the decompressed data has more than %d bytes", maxDecodedBytes)
	}
	return text, nil
}
