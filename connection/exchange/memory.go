package exchange

import (
	"io"
	"sync/atomic"

	"github.com/pkg/errors"
)

const (
	// maxHeadBytes bounds the head of a response with the interim responses before it.
	maxHeadBytes = 64 << 10
	// freeBodyBytes is the size up to which a body does not count for a MemoryBudget, so
	// that usual responses don't fail because of others. A server sends a few dozen at
	// once.
	freeBodyBytes = 256 << 10
	// firstBodyBytes is the size of the first buffer for a body.
	firstBodyBytes = 512
)

// errMemoryExhausted is the cause of a KindMemoryExhausted error.
var errMemoryExhausted = errors.New("too many bytes of responses are being received")

// MemoryBudget bounds the memory of the bodies that several pools are receiving. It is
// safe for concurrent use.
type MemoryBudget struct {
	limit int64
	used  atomic.Int64
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(limit int64) *MemoryBudget { return &MemoryBudget{limit: limit} }

// reserve takes a number of bytes, or returns false if they would exceed the limit.
func (b *MemoryBudget) reserve(bytes int64) bool {
	for used := b.used.Load(); used+bytes <= b.limit; used = b.used.Load() {
		if b.used.CompareAndSwap(used, used+bytes) {
			return true
		}
	}
	return false
}

// readAll reads up to limit bytes. The error is errMalformedResponse if there are more,
// and errMemoryExhausted if the budget does not allow them. A nil budget allows all.
func (b *MemoryBudget) readAll(r io.Reader, limit int64) ([]byte, error) {
	body := make([]byte, 0, firstBodyBytes)
	reserved := int64(0)
	if b != nil {
		defer func() { b.used.Add(-reserved) }()
	}
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, errors.Wrapf(errMalformedResponse, "body is longer than %d bytes", limit)
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		size := int64(2 * cap(body))
		if b != nil && size > freeBodyBytes {
			if !b.reserve(size - reserved) {
				return nil, errMemoryExhausted
			}
			reserved = size
		}
		body = append(make([]byte, 0, size), body...)
	}
}
