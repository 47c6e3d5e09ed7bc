package platform_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"

	"verbenatrestle/internal/standin/platform"
)

// Guards against conditional writes that both take effect: several writers race
// to replace each version.
func TestOnlyOneConcurrentWriteSucceeds(t *testing.T) {
	const writers, rounds = 8, 40
	server := platform.NewServer(platform.Options{WritesPerSecond: 1e9})
	handler := server.Handler()
	var wins atomic.Int64
	for round := range rounds {
		before := server.Stats().Revision
		var group sync.WaitGroup
		for range writers {
			group.Go(func() {
				if put(handler, round == 0, before) == http.StatusOK {
					wins.Add(1)
				}
			})
		}
		group.Wait()
		if wins.Load() != int64(round+1) || server.Stats().Revision != before+1 {
			t.Fatalf("round %d: %d writes won", round, wins.Load())
		}
	}
}

func put(handler http.Handler, create bool, version uint64) int {
	r := httptest.NewRequest(http.MethodPut, "/v1/objects/key", bytes.NewReader([]byte("v")))
	if create {
		r.Header.Set("If-None-Match", "*")
	} else {
		r.Header.Set("If-Match", strconv.Quote(strconv.FormatUint(version, 10)))
	}
	w := httptest.NewRecorder()
	handler.ServeHTTP(w, r)
	return w.Code
}
