package target

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers of the work that only the stand-ins know.
const (
	// HeaderNonce makes a request's answer unlike any other's.
	HeaderNonce = "X-Nonce"
	// HeaderSize is the wanted size of the answer's body in bytes.
	HeaderSize = "X-Size"
	// HeaderCrash makes the target that runs the request crash.
	HeaderCrash = "X-Crash"
	// HeaderRanBy is the instance of the target that ran the request.
	HeaderRanBy = "X-Ran-By"
	// HeaderWorkMicros is how long the target took for the request, from the
	// start of its handler to the answer, in whole microseconds.
	HeaderWorkMicros = "X-Work-Us"
	// CrashMarker in a request's body makes the target crash.
	CrashMarker = "CRASH-THE-TARGET"
)

// MaxResponseBytes bounds the wanted size of an answer.
const MaxResponseBytes = 8 << 20

// ResponseBody returns the body of the answer to a request. All of the request's
// method, URI, nonce and body go into it.
func ResponseBody(method, uri, nonce string, body []byte, size int) []byte {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\n" + uri + "\n" + nonce + "\n")
	_, _ = digest.Write(body)
	rng := rand.NewPCG(digest.Sum64(), xxhash.Sum64(body))
	answer := make([]byte, 0, size+8)
	for len(answer) < size {
		answer = binary.LittleEndian.AppendUint64(answer, rng.Uint64())
	}
	return answer[:size]
}

// answerSize returns the size that the request wants.
func answerSize(r *http.Request) int {
	size, err := strconv.Atoi(r.Header.Get(HeaderSize))
	if err != nil || size < 0 {
		return 0
	}
	return min(size, MaxResponseBytes)
}
