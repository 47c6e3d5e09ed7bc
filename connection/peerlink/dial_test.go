package peerlink

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// Only the first failed dial to a peer is logged. The test guards against a log
// line for each redial while the peer is unreachable.
func TestOnlyFirstFailedDialIsLogged(t *testing.T) {
	p := &peer{name: "b", inbox: inbox{handle: func(event) {}}}
	now := time.Unix(1000, 0)
	for i := range 3 {
		_, first := p.dialFailed(now, errors.New("refused"), DefaultLimits(), 0.5)
		if first != (i == 0) {
			t.Errorf("failed dial %d: first is %v", i, first)
		}
	}
}

// Two nodes that dial each other at the same time are no fault. The test guards
// against counting and logging the dial that is refused with status 409 as a
// failed handshake, and against ignoring dials that are refused for other reasons.
func TestIsDialConflict(t *testing.T) {
	cases := map[int]bool{http.StatusConflict: true, http.StatusUnauthorized: false, http.StatusForbidden: false}
	for status, want := range cases {
		err := errors.Wrap(reject(status, errors.New("no")), "handshake")
		if isDialConflict(err) != want {
			t.Errorf("status %d: dial conflict is %v", status, !want)
		}
	}
	if isDialConflict(errors.New("garbage")) {
		t.Error("garbage counts as a dial conflict")
	}
}
