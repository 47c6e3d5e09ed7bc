package gateway

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// documentEncoding is the content coding of a configDocument between nodes.
	documentEncoding = "deflate"
	// maxDocumentBytes bounds the text of a configuration. A value in the store is
	// smaller.
	maxDocumentBytes = 16 << 20
)

// configDocument is the text of a configuration, compressed by DEFLATE. With many
// routes, which are much alike, it is a small part of the text. Nodes pass it on as
// they got it.
type configDocument []byte

// newConfigDocument compresses a text.
func newConfigDocument(text []byte) (configDocument, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if _, err := w.Write(text); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress configuration")
	}
	return out.Bytes(), nil
}

// text returns the text. It fails if the document is damaged or too long.
func (d configDocument) text() ([]byte, error) {
	text, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(d)), maxDocumentBytes+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress configuration")
	}
	if len(text) > maxDocumentBytes {
		return nil, errors.Errorf("decompress configuration: more than %d bytes", maxDocumentBytes)
	}
	return text, nil
}
