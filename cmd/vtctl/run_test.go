package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/node/admin"
	"verbenatrestle/process/configstore"
	"verbenatrestle/process/platform"
)

// memoryPlatform is a platform in memory that can be made unavailable.
type memoryPlatform struct {
	mu     sync.Mutex
	object platform.Object
	down   bool
}

func (m *memoryPlatform) Get(context.Context, string) (platform.Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.down:
		return platform.Object{}, platform.ErrUnavailable
	case m.object.Version == 0:
		return platform.Object{}, platform.ErrNotFound
	}
	return m.object, nil
}

func (m *memoryPlatform) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.object.Version != ifVersion {
		return 0, &platform.ConflictError{Version: m.object.Version, Value: m.object.Value}
	}
	m.object = platform.Object{Version: ifVersion + 1, Value: value}
	return m.object.Version, nil
}

// fleet is a platform with the administration API of one node, and runs command
// lines against it.
type fleet struct {
	t        *testing.T
	platform *memoryPlatform
	address  string
}

const testToken = "0123456789abcdef"

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, platform: &memoryPlatform{}}
	store := configstore.NewStore()
	committer := configstore.NewCommitter(configstore.Config{
		Client: f.platform, Store: store, Now: time.Now, MaxAttempts: 3,
		Sleep:   func(context.Context, time.Duration) error { return nil },
		NewRand: func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
	})
	f.address = f.serve(admin.New(admin.Options{
		Node: "n1", Token: testToken, Committer: committer, Store: store, Metrics: metrics.NewRegistry(), Now: time.Now,
		State: map[string]func() any{"node": func() any { return "up" }},
		Nodes: func() []admin.NodeStatus {
			return []admin.NodeStatus{{Node: "n1", DataCentre: "kochi-a", State: "alive", Version: store.Version(), DelayMS: -1}}
		},
	}))
	return f
}

// serve starts a server and returns its address.
func (f *fleet) serve(handler http.Handler) string {
	server := httptest.NewServer(handler)
	f.t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// refusedAddress returns an address that refuses connections.
func (f *fleet) refusedAddress() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// droppingAddress returns an address that forwards requests to another one, but
// closes the connection without a response.
func (f *fleet) droppingAddress(to string) string {
	return f.serve(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		r.RequestURI, r.URL.Scheme, r.URL.Host = "", "http", to
		if response, err := http.DefaultClient.Do(r); err == nil {
			_ = response.Body.Close()
		}
		panic(http.ErrAbortHandler)
	}))
}

func (f *fleet) run(addresses, line string) (code int, stdout, stderr string) {
	var out, err bytes.Buffer
	args := append([]string{"-a", addresses}, strings.Fields(line)...)
	env := map[string]string{"VT_TOKEN": testToken, "USER": "asha"}
	code = run(context.Background(), args, func(name string) string { return env[name] }, &out, &err)
	return code, out.String(), err.String()
}

// expect runs a command line and checks its exit code and a part of its output.
func (f *fleet) expect(addresses, line string, code int, part string) {
	f.t.Helper()
	got, stdout, stderr := f.run(addresses, line)
	if got != code || !strings.Contains(stdout+stderr, part) {
		f.t.Errorf("vtctl %s: exit code %d, want %d with %q\n%s%s", line, got, code, part, stdout, stderr)
	}
}

const (
	kodumala = "../../examples/kodumala/template.yaml ../../examples/kodumala/organisation.yaml"
	trials   = "../../examples/flavour-trials/template.yaml ../../examples/flavour-trials/organisation.yaml"
)

func TestCommands(t *testing.T) {
	f := newFleet(t)
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	if err := os.WriteFile(bad, []byte("kind: organisation\nname: x\ntemplate: summit-registers\nvalues: {slot: 1}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		line string
		code int
		part string
	}{
		{"validate " + kodumala + " " + trials, exitOK, "valid: 4 files"},
		{"-o json validate " + kodumala, exitOK, `"valid": true`},
		{"validate " + kodumala + " " + bad, exitRefused, bad + ":4:10: $.values.slot: the template summit-registers has no such parameter"},
		{"validate -o json " + bad, exitRefused, `"path": "$.template"`},
		{"validate", exitUsage, "name at least one file"},
		{"validate none.yaml", exitFailed, "read file: open none.yaml"},
		{"nonsense", exitUsage, ""},
		{"-nonsense history", exitUsage, "flag provided but not defined"},
		{"-o xml history", exitUsage, "-o xml is neither"},
		{"-timeout 0s history", exitUsage, "not above zero"},
		{"help apply", exitOK, "set the templates and organisations in files"},
		{"-token wrong history", exitRefused, "authorise at n1"},
		{"apply -dry-run " + kodumala, exitOK, "valid on version 0: template summit-registers: added"},
		{"apply " + kodumala + " " + bad, exitRefused, bad + ":4:10: $.values.slot"},
		{"apply -operation-id one " + kodumala, exitOK, "version 1 accepted: template summit-registers: added"},
		{"apply -operation-id one " + kodumala, exitOK, "version 1 accepted, found in the history"},
		{"-o json apply " + trials, exitOK, `"version": 2`},
		{"apply -if-version 1 " + trials, exitConflict, "version 1 was the base, 2 is in force; version 2 by asha at"},
		{"-o json apply -if-version 1 " + trials, exitConflict, `"since":[{"version":2`},
		{"datacentre out kochi-a", exitOK, "version 3 accepted: data centre kochi-a: out"},
		{"datacentre out kochi-z", exitRefused, "there is no such data centre"},
		{"datacentre off kochi-a", exitUsage, "want datacentre out|in NAME"},
		{"target out kochi-b-1", exitOK, "version 4 accepted: target kochi-b-1: out"},
		{"get datacentres", exitOK, "kochi-a     out\nkochi-b     in\n"},
		{"-o json get datacentres kochi-a", exitOK, `"state": "out"`},
		{"get datacentres kochi-z", exitFailed, `there is no "kochi-z"`},
		{"get targets", exitOK, "kochi-b-1  out"},
		{"get organisations", exitOK, "kodumala        ../../examples/kodumala/organisation.yaml"},
		{"get organisations kodumala", exitOK, "host: kodumala.example"},
		{"get templates none", exitFailed, `there is no "none"`},
		{"get", exitOK, "version 4, accepted "},
		{"get nodes", exitUsage, `there is no kind "nodes"`},
		{"history", exitOK, "asha   one"},
		{"history x", exitUsage, "takes no arguments"},
		{"state -part node", exitOK, `"node": "up"`},
		{"state -part none", exitRefused, `there is no part "none"`},
		{"status", exitOK, "n1    kochi-a      alive  4        unknown"},
	}
	for _, test := range tests {
		f.expect(f.address, test.line, test.code, test.part)
	}
	if _, _, stderr := f.run(f.address, "apply -h"); strings.Contains(stderr, testToken) {
		t.Errorf("the help shows the token: %s", stderr)
	}
}

func TestAddresses(t *testing.T) {
	f := newFleet(t)
	f.expect(f.address, "apply "+kodumala, exitOK, "version 1")
	dead, cut := f.refusedAddress(), f.droppingAddress(f.address)
	odd := f.serve(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) }))
	tests := []struct {
		addresses, line string
		code            int
		part            string
	}{
		{dead + "," + f.address, "datacentre out kochi-a", exitOK, "version 2 accepted: data centre kochi-a: out"},
		{cut + ", " + f.address, "datacentre in kochi-a", exitOK, "version 3 accepted, found in the history: data centre kochi-a: in"},
		{cut, "-o json target out n", exitFailed, "the change may have been made"},
		{cut + "," + f.address, "target -if-version 1 in n", exitFailed, "the last one refused"},
		{cut + "," + f.address, "history", exitOK, "target n: out"},
		{odd + "," + f.address, "status", exitOK, "version 4 in force"},
		{odd, "status", exitUnreachable, "not an answer of the administration API"},
		{dead, "target in n", exitUnreachable, "no address gave a clear answer"},
		{" ", "status", exitUsage, "names no address"},
		{"%zz", "status", exitUsage, "address %zz"},
	}
	for _, test := range tests {
		f.expect(test.addresses, test.line, test.code, test.part)
	}
	f.platform.mu.Lock()
	f.platform.down = true
	f.platform.mu.Unlock()
	f.expect(f.address, "target in n", exitUnreachable, "did not take effect")
	many := strings.Repeat(f.address+",", 5)
	if _, _, stderr := f.run(many, "target in n"); strings.Count(stderr, "did not take effect") != maxInconclusive {
		f.t.Errorf("got %s", stderr)
	}
}
