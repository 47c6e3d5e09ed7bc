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

// result is what is known of one send, or of a whole operation.
type result int

const (
	// notRun means that the request was refused and not run.
	notRun result = iota
	// unknown means that the request may have been run.
	unknown
	// done means that the request was run, and its answer is not kept.
	done
	// answered means that the whole and right answer came.
	answered
	// truncated means that a clean answer was a prefix of the right one.
	truncated
	// misrouted means that a clean answer was another one than the right one.
	misrouted
	resultCount
)

// final reports whether nothing is gained by sending the request again.
func (r result) final() bool {
	return r >= done
}

// operation is one request of a caller, however often it is sent.
type operation struct {
	class *Class
	// start is the planned start.
	start  time.Time
	nonce  string
	key    string
	body   []byte
	twice  bool
	answer []byte
	// first is the place in the rotation of the first send.
	first int
}

// newOperation makes an operation that the random numbers fix, but for its key.
func newOperation(class *Class, number int, key string, duplicates float64, rng *rand.Rand) *operation {
	op := &operation{class: class, key: key, first: number}
	op.nonce = strconv.Itoa(number) + "-" + strconv.FormatUint(rng.Uint64(), 36)
	op.body = newBody(class, rng)
	op.twice = key != "" && rng.Float64() < duplicates
	op.answer = target.ResponseBody(class.Method, op.uri(), op.nonce, op.body, class.ResponseBytes)
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

// check compares a clean answer with the right one.
func (op *operation) check(body []byte) result {
	if string(body) == string(op.answer) {
		return answered
	}
	if len(body) < len(op.answer) && string(body) == string(op.answer[:len(body)]) {
		return truncated
	}
	return misrouted
}

// both joins the results of two copies of an operation: a wrong answer counts
// first, then the most that is known.
func both(a, b result) result {
	return max(a, b)
}

// newBody returns a reader of the body. The HTTP transport sends a request with
// a key again by itself when its connection breaks, and then tells only how
// the second send ended. It can't when it does not know the type of the reader.
func (o *operation) newBody() io.Reader {
	reader := bytes.NewReader(o.body)
	if o.key == "" {
		return reader
	}
	return io.NopCloser(reader)
}
