package load

import (
	"bytes"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"verbenatrestle/internal/standin/target"
)

// result is what is known about one attempt, or about a whole operation. Higher
// values take precedence when results are combined.
type result int

const (
	// notRun means that the request was refused and not run.
	notRun result = iota
	// unknown means that the request may have been run.
	unknown
	// done means that the request was run, but its response is not available.
	done
	// answered means that the complete, correct response was received.
	answered
	// truncated means that a successful response was a proper prefix of the
	// correct one.
	truncated
	// misrouted means that a successful response differed from the correct one
	// in another way.
	misrouted
	resultCount
)

// final reports whether a retry could not improve the result.
func (r result) final() bool {
	return r >= done
}

// operation is one request of a caller, with all its attempts.
type operation struct {
	class *Class
	// start is the planned start.
	start time.Time
	// nonce makes the expected response unique.
	nonce string
	key   string
	body  []byte
	// duplicate means that the operation is sent in two concurrent copies.
	duplicate bool
	// expected is the body of the correct response.
	expected []byte
	// firstIngress is the position of the first attempt in the rotation of the
	// ingress addresses.
	firstIngress int
}

// newOperation returns an operation that is determined by its arguments and the
// random numbers of rng.
func newOperation(class *Class, number int, key string, duplicates float64, rng *rand.Rand) *operation {
	op := &operation{class: class, key: key, firstIngress: number}
	op.nonce = strconv.Itoa(number) + "-" + strconv.FormatUint(rng.Uint64(), 36)
	op.body = newBody(class, rng)
	op.duplicate = key != "" && rng.Float64() < duplicates
	op.expected = target.ResponseBody(class.Method, op.uri(), op.nonce, op.body, class.ResponseBytes)
	return op
}

func newBody(class *Class, rng *rand.Rand) []byte {
	if class.MeanBodyBytes == 0 {
		return nil
	}
	body := make([]byte, rng.IntN(2*class.MeanBodyBytes+1))
	for i := range body {
		body[i] = 'a' + byte(rng.UintN(26))
	}
	return body
}

func (op *operation) uri() string {
	return strings.ReplaceAll(op.class.Path, "{id}", op.nonce)
}

// check compares the body of a successful response with the expected one.
func (op *operation) check(body []byte) result {
	if string(body) == string(op.expected) {
		return answered
	}
	if len(body) < len(op.expected) && string(body) == string(op.expected[:len(body)]) {
		return truncated
	}
	return misrouted
}

// combine returns the result of an operation that was sent in two copies. An
// incorrect response takes precedence, then the more definite result.
func combine(a, b result) result {
	return max(a, b)
}

// bodyReader returns a reader of the body. If the connection breaks,
// http.Transport retries a request that has an Idempotency-Key header by itself
// and returns only the error of the retry. It cannot do so for a reader whose
// type it does not know, because it cannot rewind the body.
func (op *operation) bodyReader() io.Reader {
	reader := bytes.NewReader(op.body)
	if op.key == "" {
		return reader
	}
	return io.NopCloser(reader)
}
