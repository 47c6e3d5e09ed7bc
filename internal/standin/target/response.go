package target

import (
	"encoding/binary"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers that only the load generator and the stand-in target use.
const (
	// HeaderNonce makes the response body unique to the request.
	HeaderNonce = "X-Nonce"
	// HeaderSize is the requested size of the response body in bytes.
	HeaderSize = "X-Size"
	// HeaderCrash makes the target that runs the request crash.
	HeaderCrash = "X-Crash"
	// HeaderRanBy is the ID of the target instance that ran the request.
	HeaderRanBy = "X-Ran-By"
	// HeaderWorkMicros is the time that the target took for the request, from the
	// start of its handler to the response, in whole microseconds.
	HeaderWorkMicros = "X-Work-Us"
	// CrashMarker in a request's body makes the target crash.
	CrashMarker = "CRASH-THE-TARGET"
)

// MaxResponseBytes limits the size of a response body.
const MaxResponseBytes = 8 << 20

// ResponseBody returns the body of the correct response to a request. It depends
// on the method, URI, nonce and body of the request.
func ResponseBody(method, uri, nonce string, body []byte, size int) []byte {
	digest := xxhash.New()
	_, _ = digest.WriteString(method + "\n" + uri + "\n" + nonce + "\n")
	_, _ = digest.Write(body)
	rng := rand.NewPCG(digest.Sum64(), xxhash.Sum64(body))
	response := make([]byte, 0, size+8)
	for len(response) < size {
		response = binary.LittleEndian.AppendUint64(response, rng.Uint64())
	}
	return response[:size]
}

// responseSize returns the size of the response body that the request asks for.
func responseSize(r *http.Request) int {
	size, err := strconv.Atoi(r.Header.Get(HeaderSize))
	if err != nil || size < 0 {
		return 0
	}
	return min(size, MaxResponseBytes)
}
