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

var (
	// ErrBodyTooLong means that a body exceeds its limit.
	ErrBodyTooLong = errors.New("body is too long")
	// errMemoryExhausted is the cause of a KindMemoryExhausted error.
	errMemoryExhausted = errors.New("too many bytes of bodies are being received")
)

// MemoryBudget bounds the memory of bodies, for example of those that several pools are
// receiving. It is safe for concurrent use. A nil budget allows all.
type MemoryBudget struct {
	limit int64
	// free is the size up to which a body does not count.
	free int64
	// whole is the budget that this one is a part of, or nil.
	whole *MemoryBudget
	used  atomic.Int64
}

// NewMemoryBudget returns a budget of the given number of bytes.
func NewMemoryBudget(limit int64) *MemoryBudget {
	return &MemoryBudget{limit: limit, free: freeBodyBytes}
}

// Part returns a budget of at most limit bytes whose bodies count for b, too. Bodies of up
// to free bytes don't count. Parts may overlap: their limits may exceed that of b together.
func (b *MemoryBudget) Part(limit, free int64) *MemoryBudget {
	return &MemoryBudget{limit: limit, free: free, whole: b}
}

// Used returns how many bytes are reserved.
func (b *MemoryBudget) Used() int64 { return b.used.Load() }

// reserve takes a number of bytes, or returns false if they would exceed a limit.
func (b *MemoryBudget) reserve(bytes int64) bool {
	if b == nil {
		return true
	}
	for used := b.used.Load(); used+bytes <= b.limit; used = b.used.Load() {
		if !b.used.CompareAndSwap(used, used+bytes) {
			continue
		}
		if b.whole.reserve(bytes) {
			return true
		}
		b.used.Add(-bytes)
		return false
	}
	return false
}

// release gives bytes back.
func (b *MemoryBudget) release(bytes int64) {
	for ; b != nil; b = b.whole {
		b.used.Add(-bytes)
	}
}

// BodyMemory is the part of a budget that one body uses. The zero value is that of a body
// without a budget. It is used by one goroutine at a time.
type BodyMemory struct {
	budget   *MemoryBudget
	reserved int64
}

// Body returns the memory of a body, of which nothing is reserved yet.
func (b *MemoryBudget) Body() BodyMemory { return BodyMemory{budget: b} }

// Grow reserves the memory of a body of the given size in bytes. It returns false if the
// budget does not allow it, and then keeps what was reserved before.
func (m *BodyMemory) Grow(size int64) bool {
	if m.budget == nil || size <= m.budget.free || size <= m.reserved {
		return true
	}
	if !m.budget.reserve(size - m.reserved) {
		return false
	}
	m.reserved = size
	return true
}

// Release gives back what is reserved.
func (m *BodyMemory) Release() {
	if m.reserved > 0 {
		m.budget.release(m.reserved)
		m.reserved = 0
	}
}

// Read reads a body of the given length, or of up to limit bytes if the length is negative.
// It reserves the memory first, for an unknown length as the body grows. The error is
// ErrBodyTooLong if there are more bytes than limit, and one that IsMemoryExhausted reports
// if the budget does not allow them.
func (m *BodyMemory) Read(r io.Reader, length, limit int64) ([]byte, error) {
	switch {
	case length > limit:
		return nil, ErrBodyTooLong
	case length < 0:
		return m.readUnknown(r, limit)
	case !m.Grow(length):
		return nil, errMemoryExhausted
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// readUnknown reads a body of unknown length.
func (m *BodyMemory) readUnknown(r io.Reader, limit int64) ([]byte, error) {
	body := make([]byte, 0, firstBodyBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrBodyTooLong
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, err
		case len(body) < cap(body):
			continue
		}
		// One byte above the limit shows that the body is too long.
		size := min(int64(2*cap(body)), limit+1)
		if !m.Grow(min(size, limit)) {
			return nil, errMemoryExhausted
		}
		body = append(make([]byte, 0, size), body...)
	}
}

// IsMemoryExhausted reports whether a body was not read because its budget did not allow
// it.
func IsMemoryExhausted(err error) bool { return errors.Is(err, errMemoryExhausted) }

// readAll reads the body of a response of up to limit bytes. The error is
// errMalformedResponse if there are more, and errMemoryExhausted if the budget does not
// allow them.
func (b *MemoryBudget) readAll(r io.Reader, limit int64) ([]byte, error) {
	memory := b.Body()
	defer memory.Release()
	body, err := memory.Read(r, -1, limit)
	if errors.Is(err, ErrBodyTooLong) {
		return nil, errors.Wrapf(errMalformedResponse, "body is longer than %d bytes", limit)
	}
	return body, err
}
