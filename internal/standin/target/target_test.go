package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"verbenatrestle/request"
)

// deadline limits every wait of these tests.
const deadline = 20 * time.Second

func start(t *testing.T, options Options) (*Target, string) {
	t.Helper()
	target, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(target.Handler())
	t.Cleanup(server.Close)
	return target, server.URL
}

func post(ctx context.Context, url, key string, body []byte) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/entry-filing/entries", bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	r.Header.Set(request.HeaderIdempotencyKey, key)
	r.Header.Set(request.HeaderRequestID, "r-"+key)
	r.Header.Set(HeaderNonce, key)
	r.Header.Set(HeaderSize, "100")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response, responseBody, err
}

func TestResponseIsDerivedFromRequest(t *testing.T) {
	target, url := start(t, Options{ServiceTime: time.Millisecond})
	response, body, err := post(t.Context(), url, "k", []byte("entry"))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("post: %v, %v", response, err)
	}
	want := ResponseBody(http.MethodPost, "/entry-filing/entries", "k", []byte("entry"), 100)
	if !bytes.Equal(body, want) {
		t.Fatal("the response does not belong to the request")
	}
	if response.Header.Get(request.HeaderRequestID) != "r-k" || response.Header.Get(HeaderRanBy) != target.Stats().Instance {
		t.Fatalf("headers: %v", response.Header)
	}
	if bytes.Equal(want, ResponseBody(http.MethodPost, "/entry-filing/entries", "k", []byte("entr"), 100)) {
		t.Fatal("a truncated request body gives the same response")
	}
}

func TestColdTargetCollapsesUnderOverload(t *testing.T) {
	target, url := start(t, Options{ColdLimit: 2, ServiceTime: 100 * time.Millisecond, StallTime: 200 * time.Millisecond})
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			if response, _, err := post(t.Context(), url, "borne", nil); err != nil || response.StatusCode != http.StatusOK {
				t.Errorf("request within the limit: %v, %v", response, err)
			}
		})
	}
	eventually(t, "two in flight", func() bool { return target.Stats().InFlight == 2 })
	response, _, err := post(t.Context(), url, "too many", nil)
	if err != nil || response.Header.Get(request.HeaderOutcome) != string(request.NotRun) {
		t.Fatalf("third request: %v, %v", response, err)
	}
	group.Wait()
	stats := target.Stats()
	if stats.Overruns != 1 || stats.PeakColdInFlight != 2 || target.Journal().Runs()["too many"] != 0 {
		t.Fatalf("stats %+v, runs %v", stats, target.Journal().Runs())
	}
}

func TestCancelledWorkStopsAndCountsAsRun(t *testing.T) {
	target, url := start(t, Options{ServiceTime: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, _, err := post(ctx, url, "k", []byte("entry"))
		ended <- err
	}()
	eventually(t, "a run", func() bool { return target.Journal().Runs()["k"] == 1 })
	cancel()
	if err := <-ended; err == nil {
		t.Fatal("the cancelled request was answered")
	}
	eventually(t, "an idle target", func() bool {
		stats := target.Stats()
		return stats.InFlight == 0 && stats.Cancelled == 1
	})
}

func TestCrashStartsAnotherInstance(t *testing.T) {
	target, url := start(t, Options{StartWarm: true, ServiceTime: time.Millisecond})
	before := target.Stats().Instance
	if _, _, err := post(t.Context(), url, "k", []byte(CrashMarker)); err == nil {
		t.Fatal("a request that crashes the target was answered")
	}
	after := target.Stats()
	if after.Instance == before || after.State != "cold" || after.Crashes != 1 {
		t.Fatalf("after the crash: %+v", after)
	}
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(deadline)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("timeout while waiting for %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}
