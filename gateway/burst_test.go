package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/process/fleet"
)

// Guards the queues of a small service as TestBurstFillsTheQueuesOfASmallService does, where
// the machine stops the whole test for seconds: neither a silent peer nor an objective that
// can't be met decides the result.
func TestBurstFillsTheQueuesOnASlowMachine(t *testing.T) {
	const targets, patience = 3, 20 * time.Second
	f := newTestFleet(t)
	f.prepare = func(n *Node) {
		n.fleet = fleet.NewTable(fleet.Settings{UnreachableAfter: time.Minute, ForgetAfter: forgetAfter})
	}
	f.store.Put("config", "main", patientConfig(patience, "s"))
	for range targets {
		f.add(testTarget{service: "s", slots: 1, work: 100 * time.Millisecond})
	}
	f.settled(1)
	sendBursts(t, f, 2*targets, func(id string) string {
		status, err := f.nodes[0].callWithin(patience, "/s/1", id)
		if err != nil || status != http.StatusOK {
			return fmt.Sprintf("%s: status %d, %v", id, status, err)
		}
		return ""
	})
}

// patientConfig returns a configuration whose routes have the given timeout and objective.
func patientConfig(patience time.Duration, services ...string) []byte {
	usual := `"timeoutS":2,"targetLatencyS":0.5`
	patient := fmt.Sprintf(`"timeoutS":%[1]d,"targetLatencyS":%[1]d`, int(patience.Seconds()))
	return []byte(strings.ReplaceAll(string(standin.ConfigForServices(1, services...)), usual, patient))
}

// sendBursts sends bursts of requests at once, one burst after the other, and stops after one
// that fails. Send sends the request of an id and returns what is wrong with the response.
func sendBursts(t *testing.T, f *testFleet, requests int, send func(id string) string) {
	t.Helper()
	for round := range 5 {
		failed := make(chan string, requests)
		for i := range requests {
			go func() { failed <- send(fmt.Sprintf("%d-%d", round, i)) }()
		}
		complete := true
		for range requests {
			if failure := <-failed; failure != "" {
				t.Error(failure)
				complete = false
			}
		}
		if !complete {
			f.logLines(fmt.Sprintf(`"request":"%d-`, round))
			return
		}
	}
}

// callWithin sends a request that may take the given time, and returns the status of the
// response.
func (n *testNode) callWithin(timeout time.Duration, path, id string) (int, error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+n.settings.Listen.Callers+path, nil)
	if err != nil {
		return 0, err
	}
	r.Host = "h"
	r.Header.Set(platform.HeaderRequestID, id)
	r.Header.Set(platform.HeaderTimeout, fmt.Sprint(timeout.Milliseconds()))
	client := &http.Client{Timeout: timeout, Transport: testClient.Transport}
	response, err := client.Do(r)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}
