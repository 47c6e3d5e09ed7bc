package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"verbenatrestle/process/configstore"
	"verbenatrestle/version"
)

const testToken = "0123456789abcdef"

// fakeCommitter applies changes to a store, or fails with err.
type fakeCommitter struct {
	store *configstore.Store
	err   error
	actor string
}

func (c *fakeCommitter) Commit(_ context.Context, change version.Change, actor string) (configstore.CommitResult, error) {
	if c.err != nil {
		return configstore.CommitResult{}, c.err
	}
	var doc version.Document
	if active := c.store.Active(); active != nil {
		doc = active.Document
	}
	c.actor = actor
	next, err := version.Apply(doc, change, time.Unix(1000, 0), actor)
	if err != nil {
		return configstore.CommitResult{}, err
	}
	if _, err := c.store.UpdateDocumentIfNewer(time.Unix(1001, 0), next); err != nil {
		return configstore.CommitResult{}, err
	}
	entry, _ := next.FindOperation(change.OperationID)
	return configstore.CommitResult{Entry: entry, Repeated: next.Version == doc.Version}, nil
}

// api is a handler under test with its committer.
type api struct {
	t         *testing.T
	handler   http.Handler
	committer *fakeCommitter
}

func newAPI(t *testing.T) *api {
	store := configstore.NewStore()
	committer := &fakeCommitter{store: store}
	registry := metrics.NewRegistry()
	metrics.NewRegisteredCounter("ingress.requests", registry).Inc(3)
	metrics.NewRegisteredGaugeFloat64("load.share", registry).Update(0.25)
	metrics.NewRegisteredTimer("ingress.latency", registry).Update(2 * time.Second)
	return &api{t: t, committer: committer, handler: New(Options{
		Node:      "n1",
		Token:     testToken,
		Committer: committer,
		Store:     store,
		State:     map[string]func() any{"node": func() any { return "up" }, "links": func() any { return 4 }},
		Nodes:     func() []NodeStatus { return []NodeStatus{{Node: "n1", Version: store.Version(), DelayMS: -1}} },
		Metrics:   registry,
		Now:       func() time.Time { return time.Unix(1000, 0) },
	})}
}

// call sends "METHOD path" with "Header: value" lines and returns status and
// body.
func (a *api) call(target, body string, headers ...string) (int, string) {
	a.t.Helper()
	method, path, _ := strings.Cut(target, " ")
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+testToken)
	for _, header := range headers {
		name, value, _ := strings.Cut(header, ": ")
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	a.handler.ServeHTTP(w, r)
	answer, err := io.ReadAll(w.Body)
	if err != nil {
		a.t.Fatal(err)
	}
	return w.Code, string(answer)
}

func exampleText(t *testing.T) string {
	t.Helper()
	var text string
	for _, name := range []string{"template.yaml", "organisation.yaml"} {
		data, err := os.ReadFile("../../examples/kodumala/" + name)
		if err != nil {
			t.Fatal(err)
		}
		text += "---\n" + string(data)
	}
	return text
}

func TestChanges(t *testing.T) {
	a := newAPI(t)
	text := exampleText(t)
	listed, err := json.Marshal([]version.File{{Name: "k.yaml", Text: text}})
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		target, body string
		headers      []string
		status       int
		want         string
	}{
		{"GET /v1/configuration", "", nil, 200, `"version":0`},
		{"GET /v1/history", "", nil, 200, `[]`},
		{"POST /v1/apply?dry_run=1", text, nil, 200, `"version":0,`},
		{"POST /v1/apply", string(listed), []string{"Content-Type: application/json", "Vt-Operation-Id: one", "Vt-Actor: asha"}, 200, `"version":1,"operation_id":"one"`},
		{"POST /v1/apply", string(listed), []string{"Content-Type: application/json", "Vt-Operation-Id: one", "Vt-Actor: asha"}, 200, `"repeated":true`},
		{"POST /v1/apply", text, []string{"Vt-Operation-Id: one"}, 422, `operation one made version 1 with another content`},
		{"PUT /v1/datacentres/kochi-a", `{"state":"out"}`, []string{`If-Match: "1"`}, 200, `"summary":"data centre kochi-a: out"`},
		{"PUT /v1/datacentres/kochi-a", `{"state":"in"}`, []string{`If-Match: "1"`}, 412, `"version":2,"since":[{"version":2,`},
		{"PUT /v1/datacentres/kochi-z", `{"state":"out"}`, nil, 422, `"path":"$.data_centres.kochi-z"`},
		{"PUT /v1/targets/n7", `{"state":"out"}`, nil, 200, `"version":3`},
		{"GET /v1/configuration", "", nil, 200, `"data_centres_out":["kochi-a"],"targets_out":["n7"]`},
		{"GET /v1/history", "", nil, 200, `"operation_id":"one","at":"1970-01-01T00:16:40Z","actor":"asha"`},
		{"GET /v1/status", "", nil, 200, `"node":"n1","version":3,"accepted_at":"1970-01-01T00:16:40Z","delay_ms":1000,"nodes":[{"node":"n1"`},
	}
	for _, test := range tests {
		status, answer := a.call(test.target, test.body, test.headers...)
		if status != test.status || !strings.Contains(answer, test.want) {
			t.Errorf("%s %v: got %d %s, want %d %s", test.target, test.headers, status, answer, test.status, test.want)
		}
	}
}

func TestBadRequests(t *testing.T) {
	tests := []struct {
		target, body string
		header       string
		status       int
		want         string
	}{
		{"GET /v1/state", "", "Authorization: Bearer wrong", 401, `"step":"authorise","peer":"n1"`},
		{"GET /v1/state", "", "Authorization: " + testToken, 401, `the bearer token is missing or wrong`},
		{"GET /metrics", "", "Authorization: ", 401, `"outcome":"not-run"`},
		{"GET /v1/nothing", "", "", 404, `has no path \"/v1/nothing\"`},
		{"GET /v1/apply", "", "", 405, `/v1/apply allows POST, not GET`},
		{"POST /v1/apply", strings.Repeat("a", maxApplyBytes+1), "", 413, `the body has more than 4194304 bytes`},
		{"POST /v1/apply", "\x00\x01garbage: [", "", 422, `"file":"body","line":1`},
		{"POST /v1/apply", "", "", 422, `the file holds no document`},
		{"POST /v1/apply", "{}", "Content-Type: application/json", 400, `decode body: json: cannot unmarshal object`},
		{"POST /v1/apply", `[{"file":"a","txt":"b"}]`, "Content-Type: application/json", 400, `unknown field \"txt\"`},
		{"POST /v1/apply", `[] []`, "Content-Type: application/json", 400, `more than one value`},
		{"POST /v1/apply", `[]`, "Content-Type: application/json", 400, `the list of files is empty`},
		{"POST /v1/apply", "a: 1", "Content-Type: /", 400, `content type`},
		{"POST /v1/apply?dry_run=maybe", "a: 1", "", 400, `dry_run`},
		{"POST /v1/apply", "a: 1", "If-Match: new", 400, `If-Match: \"new\" is not a version`},
		{"POST /v1/apply", "a: 1", "Vt-Operation-Id: a b", 422, `operation ID \"a b\"`},
		{"PUT /v1/datacentres/a", `{"state":"down"}`, "", 400, `state \"down\" is neither`},
		{"PUT /v1/datacentres/a", `{`, "", 400, `decode body: unexpected EOF`},
		{"PUT /v1/targets/a", strings.Repeat(" ", maxAdminStateBytes+1), "", 413, `more than 1024 bytes`},
		{"GET /v1/state?part=none", "", "", 404, `there is no part \"none\"`},
	}
	for _, test := range tests {
		a := newAPI(t)
		status, answer := a.call(test.target, test.body, test.header)
		if status != test.status || !strings.Contains(answer, test.want) {
			t.Errorf("%s: got %d %.300s, want %d %s", test.target, status, answer, test.status, test.want)
		}
		if a.committer.store.Version() != 0 {
			t.Errorf("%s: was applied", test.target)
		}
	}
	open := New(Options{})
	w := httptest.NewRecorder()
	r := httptest.NewRequest("GET", "/v1/state", nil)
	r.Header.Set("Authorization", "Bearer ")
	open.ServeHTTP(w, r)
	if w.Code != 401 {
		t.Errorf("an API without a token answers %d", w.Code)
	}
}

func TestCommitFailures(t *testing.T) {
	conflict := &version.ConflictError{Base: 1, Version: 2, Resources: []string{"data centre a"}, ChangesSince: []version.HistoryEntry{{Version: 2, Actor: "binu"}}}
	tests := []struct {
		err    error
		status int
		want   string
	}{
		{&configstore.UnknownOutcomeError{OperationID: "x", Cause: errors.New("cut")}, 504, `"outcome":"unknown"`},
		{&configstore.UnavailableError{OperationID: "x", Cause: errors.New("down")}, 503, `"outcome":"not-run"`},
		{conflict, 409, `"actor":"binu"`},
		{errors.New("odd"), 422, `"detail":"odd"`},
	}
	for _, test := range tests {
		a := newAPI(t)
		a.committer.err = test.err
		status, answer := a.call("PUT /v1/targets/n", `{"state":"out"}`, "Vt-Operation-Id: x")
		if status != test.status || !strings.Contains(answer, test.want) || !strings.Contains(answer, `"operation_id":"x"`) {
			t.Errorf("%v: got %d %s", test.err, status, answer)
		}
	}
}

func TestStateAndMetrics(t *testing.T) {
	a := newAPI(t)
	if _, answer := a.call("GET /v1/state", ""); answer != "{\"links\":4,\"node\":\"up\"}\n" {
		t.Errorf("got %s", answer)
	}
	if _, answer := a.call("GET /v1/state?part=node", ""); answer != "{\"node\":\"up\"}\n" {
		t.Errorf("got %s", answer)
	}
	want := "# TYPE vt_ingress_latency_seconds summary\n"
	for _, q := range []string{"0.5", "0.9", "0.99", "0.999"} {
		want += fmt.Sprintf("vt_ingress_latency_seconds{quantile=%q} 2\n", q)
	}
	want += "vt_ingress_latency_seconds_sum 2\nvt_ingress_latency_seconds_count 1\n" +
		"# TYPE vt_ingress_requests counter\nvt_ingress_requests 3\n# TYPE vt_load_share gauge\nvt_load_share 0.25\n"
	if _, answer := a.call("GET /metrics", ""); answer != want {
		t.Errorf("got %s", answer)
	}
}
