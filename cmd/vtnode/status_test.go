package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"verbenatrestle/gateway"
	"verbenatrestle/process/fleet"
)

// The dump of a node has to arrive in its line, with the targets of each service.
func TestStatusPrintsTheStateOfNodes(t *testing.T) {
	state := gateway.State{Node: "a", DataCentre: "z1", Config: gateway.ConfigState{Number: 7, Routes: 1400}}
	state.Peers = fleet.Summary{Known: 294, Heartbeat: 66, Reachable: 65, Services: map[string]fleet.ServiceSummary{"s": {Known: 111, Candidates: 18}}}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != gateway.StatePath {
			http.NotFound(w, r)
			return
		}
		_ = json.NewEncoder(w).Encode(state)
	}))
	defer server.Close()
	got, err := fetchState(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	if err := printStates(&out, []gateway.State{got}); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"1400", "66 of 294", "111", "18"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("%q is missing in\n%s", want, out.String())
		}
	}
}

func TestStatusOfUnreachableNodeIsAnError(t *testing.T) {
	if _, err := fetchState(t.Context(), "127.0.0.1:1"); err == nil {
		t.Fatal("no error")
	}
}
