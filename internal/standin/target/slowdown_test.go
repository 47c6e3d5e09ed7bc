package target_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"verbenatrestle/internal/standin/target"
)

// Guards against work that keeps a slowdown after the slowdown has ended: with the
// slowdown the work would take years, and the slowdown ends while the work runs.
func TestEndOfSlowdownAppliesToRunningWork(t *testing.T) {
	stand, err := target.New(target.Options{StartWarm: true, ServiceTime: time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	server := httptest.NewServer(stand.Handler())
	defer server.Close()
	stand.Apply(target.Control{SlowFactor: new(1e12)})
	done := make(chan int, 1)
	go func() {
		response, err := http.Get(server.URL + "/")
		if err != nil {
			done <- 0
			return
		}
		_ = response.Body.Close()
		done <- response.StatusCode
	}()
	deadline := time.Now().Add(10 * time.Second)
	for stand.Stats().Runs == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	stand.Apply(target.Control{SlowFactor: new(1.0)})
	select {
	case status := <-done:
		if status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
	case <-time.After(10 * time.Second):
		server.CloseClientConnections()
		t.Fatal("running work kept the slowdown with which it began")
	}
}
