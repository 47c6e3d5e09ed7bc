package platform

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// Versions of a later era must be higher whatever their revision, and those of a store
// that states no era must be its revisions, as nodes of the last release have them.
func TestVersionsAreOrderedByEra(t *testing.T) {
	if NewVersion(0, 77) != 77 {
		t.Fatal("a revision without an era changes")
	}
	rapid.Check(t, func(t *rapid.T) {
		era := rapid.Uint64Range(0, uint64(MaxEra)-1)
		revision := rapid.Uint64Range(0, MaxRevision)
		a, b := Era(era.Draw(t, "era")), Era(era.Draw(t, "other era"))
		x, y := revision.Draw(t, "revision"), revision.Draw(t, "other revision")
		v, w := NewVersion(a, x), NewVersion(b, y)
		if VersionEra(v) != a || VersionRevision(v) != x {
			t.Fatalf("%d, %d from %d", VersionEra(v), VersionRevision(v), v)
		}
		if earlier := a < b || a == b && x < y; earlier != (v < w) {
			t.Fatalf("(%d, %d) and (%d, %d) are %d and %d", a, x, b, y, v, w)
		}
	})
}

// Responses of two eras are in flight at once. Once one of the later era has been used,
// none of the earlier one may be; a single response with an absurd era must not make
// the true ones look late.
func TestEraNeverFallsAndNeedsConfirmationToJump(t *testing.T) {
	var tracker eraTracker
	steps := []struct {
		stated, sent, known Era
		err                 error
	}{
		{0, 0, 0, nil},
		{4, 0, 4, nil},
		{5, 4, 5, nil},
		{4, 4, 5, errLateResponse},
		{0, 4, 5, errLateResponse},
		{0, 5, 5, nil},
		{60_000, 5, 5, errUnconfirmedEra},
		{5, 5, 5, nil},
		{8, 5, 5, errUnconfirmedEra},
		{8, 5, 8, nil},
		{9, 8, 9, nil},
	}
	for i, s := range steps {
		_, _, err := tracker.observe(s.stated, s.sent)
		if err != s.err || tracker.known() != s.known {
			t.Fatalf("step %d: known %d, %v", i, tracker.known(), err)
		}
	}
}

// eraServer answers each call with the next of its eras and the same body.
type eraServer struct {
	eras   []string
	status int
	body   string
	etag   string
	calls  []*http.Request
}

func (s *eraServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	era := s.eras[min(len(s.calls), len(s.eras)-1)]
	s.calls = append(s.calls, r)
	if era != "" {
		w.Header().Set(HeaderEra, era)
	}
	w.Header().Set("ETag", s.etag)
	w.WriteHeader(s.status)
	_, _ = w.Write([]byte(s.body))
}

// newEraClient returns a client of the server, and the eras and errors that it reports.
func newEraClient(t *testing.T, server *eraServer) (client *Client, rises *[]string, eraErrors *[]error) {
	t.Helper()
	listener := httptest.NewServer(server)
	t.Cleanup(listener.Close)
	rises, eraErrors = new([]string), new([]error)
	return New(Config{
		BaseURL: listener.URL, Timeout: 5 * time.Second,
		OnEra:      func(before, after Era) { *rises = append(*rises, fmt.Sprint(before, ">", after)) },
		OnEraError: func(err error) { *eraErrors = append(*eraErrors, err) },
	}), rises, eraErrors
}

// A write that is sent before the store goes back, and executed after it, may have hit
// an object that only has the same revision: its outcome is unknown. A conflict still
// proves that it had no effect.
func TestWriteAcrossErasIsUnknown(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusPreconditionFailed} {
		server := &eraServer{eras: []string{"1", "2"}, status: http.StatusOK, etag: `"7"`, body: "x"}
		client, rises, _ := newEraClient(t, server)
		object, err := client.Get(t.Context(), "k")
		if err != nil || object.Version != NewVersion(1, 7) {
			t.Fatalf("%+v, %v", object, err)
		}
		server.status = status
		_, err = client.Put(t.Context(), "k", []byte("y"), object.Version)
		var conflict *ConflictError
		if status == http.StatusPreconditionFailed {
			if !errors.As(err, &conflict) || conflict.Version != NewVersion(2, 7) {
				t.Errorf("a conflict: %v", err)
			}
		} else if !errors.Is(err, ErrUnknownOutcome) {
			t.Errorf("status %d: %v", status, err)
		}
		if len(*rises) != 2 || (*rises)[1] != "1>2" {
			t.Errorf("rises %v", *rises)
		}
	}
}

// An object was read in an earlier era. A write that is conditional on its version must
// not replace an object that got the same revision since.
func TestConditionOfAnEarlierEraNeverHolds(t *testing.T) {
	server := &eraServer{eras: []string{"1", "2", "2"}, status: http.StatusOK, etag: `"7"`, body: "x"}
	client, _, _ := newEraClient(t, server)
	object, err := client.Get(t.Context(), "k")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := client.Get(t.Context(), "k"); err != nil {
		t.Fatal(err)
	}
	server.status = http.StatusPreconditionFailed
	_, err = client.Put(t.Context(), "k", []byte("y"), object.Version)
	var conflict *ConflictError
	if !errors.As(err, &conflict) || conflict.Version != NewVersion(2, 7) {
		t.Fatalf("%v", err)
	}
	if got := server.calls[2].Header.Get("If-Match"); got != formatVersion(MaxRevision) {
		t.Fatalf("the store was asked to replace revision %s", got)
	}
}

// A watch continues from a revision that was given out again. It would miss what lies
// between, so the watcher has to list.
func TestWatchFromAnEarlierEraIsCompacted(t *testing.T) {
	server := &eraServer{eras: []string{"1", "2"}, status: http.StatusOK, body: `{"revision":9,"objects":[]}`}
	client, _, _ := newEraClient(t, server)
	_, revision, err := client.List(t.Context(), "p/")
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := client.Watch(t.Context(), "p/", revision, 0); !errors.Is(err, ErrCompacted) {
		t.Fatalf("a watch during which the store goes back: %v", err)
	}
	if _, _, err := client.Watch(t.Context(), "p/", revision, 0); !errors.Is(err, ErrCompacted) {
		t.Fatalf("a watch after the store went back: %v", err)
	}
	if len(server.calls) != 2 {
		t.Fatalf("%d calls: the last watch is known to be useless", len(server.calls))
	}
}

// Responses without an era, or with one that is no number, hold as of the known era.
func TestUnreadableEraIsUnknown(t *testing.T) {
	server := &eraServer{eras: []string{"3", "", "no number", "-1", "99999999", "0"}, status: http.StatusOK, etag: `"7"`}
	client, rises, eraErrors := newEraClient(t, server)
	for i := range server.eras {
		object, err := client.Get(context.Background(), "k")
		if err != nil || object.Version != NewVersion(3, 7) {
			t.Fatalf("call %d: %+v, %v", i, object, err)
		}
	}
	if len(*rises) != 1 || client.Era() != 3 || len(*eraErrors) != 4 {
		t.Fatalf("rises %v, era %d, errors %v", *rises, client.Era(), *eraErrors)
	}
}
