package peerlink

import (
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
)

func TestOnlyTheFirstOfFailedDialsIsNews(t *testing.T) {
	p := &peer{name: "b", inbox: inbox{handle: func(event) {}}}
	now := time.Unix(1000, 0)
	for i := range 3 {
		_, first := p.dialFailed(now, errors.New("refused"), DefaultLimits(), 0.5)
		if first != (i == 0) {
			t.Errorf("failed dial %d: first is %v", i, first)
		}
	}
}

func TestOnlyACrossingDialIsNoFault(t *testing.T) {
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
