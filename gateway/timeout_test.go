package gateway

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenatrestle/platform/standin"
)

// maxAnswerDelay is how long after the timeout of its route a request may have no final
// response. The users of the platform set this limit.
const maxAnswerDelay = 500 * time.Millisecond

// Guards against requests without a final response after the timeout of their route, whose
// callers wait longer: at a target beside the node, at one beside another node, and while the
// target's queue is full.
func TestRequestEndsAtTheTimeoutOfItsRoute(t *testing.T) {
	const timeout = 2 * time.Second // of the routes of ConfigForServices
	for _, service := range []string{"once", "s"} {
		t.Run(service, func(t *testing.T) {
			t.Parallel()
			f := newTestFleet(t)
			f.store.Put("config", "main", standin.ConfigForServices(1, service, "u"))
			beside := f.add(testTarget{service: service, slots: 2, work: 3 * timeout})
			remote := f.add(testTarget{service: "u", slots: 2, work: time.Millisecond})
			f.settled(1)
			var ends []chan string
			for i := range 8 {
				n, end := []*testNode{beside, remote}[i%2], make(chan string, 1)
				ends = append(ends, end)
				go func() {
					started := time.Now()
					status, err := n.callWithin(4*timeout, "/"+service+"/x", fmt.Sprint("r", i))
					if took := time.Since(started); err != nil || status == http.StatusOK || took > timeout+maxAnswerDelay {
						end <- fmt.Sprintf("status %d after %v, %v", status, took, err)
					}
					close(end)
				}()
			}
			for i, end := range ends {
				if text, failed := <-end; failed {
					t.Errorf("request %d: %s", i, text)
				}
			}
		})
	}
}
