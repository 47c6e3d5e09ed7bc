package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenatrestle/platform"
)

// recoveryRecords returns records of enough answered requests to prove a
// recovery.
func recoveryRecords() ([]CallerRecord, []RunRecord) {
	var callers []CallerRecord
	var runs []RunRecord
	for i := range minRecoveryRequests {
		id := "calm" + string(rune('a'+i))
		callers = append(callers, CallerRecord{
			ID: id, ExpectedBody: "x", Status: 200, Body: "x", Signature: id, ResponseID: id, EndMillis: 2000, Key: KeyLasting, Organisation: "o",
		})
		runs = append(runs, RunRecord{ID: id, Request: "x", StartMillis: 1999, Organisations: []string{"o"}})
	}
	return callers, runs
}

// Guards against a check that misses a violation or reports a correct request. Each
// case adds one request and its runs to records that prove a recovery.
func TestCheckRecords(t *testing.T) {
	good := CallerRecord{
		ID: "r", NonIdempotent: true, ExpectedBody: "x", Status: 200, Body: "x", Signature: "s.r", ResponseID: "r", Key: KeyLasting, Organisation: "o",
	}
	ran := RunRecord{ID: "r", Request: "x", StartMillis: 10, Organisations: []string{"o"}}
	with := func(change func(*CallerRecord)) CallerRecord { record := good; change(&record); return record }
	for name, test := range map[string]struct {
		caller CallerRecord
		runs   []RunRecord
		want   string
	}{
		"kept":            {good, []RunRecord{ran}, ""},
		"twice":           {good, []RunRecord{ran, ran}, "twice"},
		"lied":            {with(func(t *CallerRecord) { t.Status = 503 }), []RunRecord{ran}, "lied"},
		"not run":         {with(func(t *CallerRecord) { t.Status = 503 }), nil, ""},
		"made up":         {good, nil, "made up"},
		"another body":    {with(func(t *CallerRecord) { t.Body = "y" }), []RunRecord{ran}, "mixed"},
		"another id":      {with(func(t *CallerRecord) { t.ResponseID = "q" }), []RunRecord{ran}, "mixed"},
		"no signature":    {with(func(t *CallerRecord) { t.Signature = "" }), []RunRecord{ran}, "mixed"},
		"changed":         {good, []RunRecord{{ID: "r", Request: "z", Organisations: []string{"o"}}}, "changed"},
		"denied":          {with(func(t *CallerRecord) { t.Status = 404 }), nil, "denied"},
		"unasked":         {good, []RunRecord{ran, {ID: "smuggled"}}, "unasked"},
		"after the drain": {good, []RunRecord{{ID: "r", Request: "x", StartMillis: 5001, DrainAckedMillis: 3000}}, "drain"},
		"in the bound":    {good, []RunRecord{{ID: "r", Request: "x", StartMillis: 4999, DrainAckedMillis: 3000, Organisations: []string{"o"}}}, ""},
		"late config":     {with(func(t *CallerRecord) { t.Status, t.Config, t.AckedMillis, t.EndMillis = 404, 3, 1000, 3001 }), nil, "config"},
		"config in time":  {with(func(t *CallerRecord) { t.Status, t.Config, t.AckedMillis, t.EndMillis = 404, 3, 1000, 3000 }), nil, ""},
		"dropped route":   {with(func(t *CallerRecord) { t.Config, t.SupersededMillis, t.EndMillis = 3, 1000, 3001 }), []RunRecord{ran}, "config"},
		"dropped in time": {with(func(t *CallerRecord) { t.Config, t.SupersededMillis, t.EndMillis = 3, 1000, 3000 }), []RunRecord{ran}, ""},
		"late among many": {with(func(t *CallerRecord) {
			t.Status, t.Config, t.RouteVersions, t.AckedMillis, t.EndMillis = 404, 3, 32, 1000, 3001
		}), nil, "config"},
		"lost":                         {with(func(t *CallerRecord) { t.Status, t.BehindClose = 0, true }), []RunRecord{ran}, "lost"},
		"not read":                     {with(func(t *CallerRecord) { t.Status, t.BehindClose = 0, true }), nil, ""},
		"broken answer":                {with(func(t *CallerRecord) { t.Broken = true }), nil, "mixed"},
		"broken answer, status 000":    {with(func(t *CallerRecord) { t.Broken, t.Status = true, 0 }), nil, "mixed"},
		"broken answer, not passed on": {with(func(t *CallerRecord) { t.Broken, t.Status, t.Signature = true, 502, "" }), nil, ""},
		"no answer":                    {with(func(t *CallerRecord) { t.Status = 0 }), []RunRecord{ran}, ""},
	} {
		callers, runs := recoveryRecords()
		result := CheckRecords(append(callers, test.caller), append(runs, test.runs...), 1000)
		got := strings.Join(result.Violations, "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
	for name, test := range map[string]struct {
		sentMillis int64
		node, want string
	}{
		"late on a node that ran on": {3101, "n", "config"}, "in time": {3099, "n", ""}, "on a lost node": {3101, "lost", ""}, "after it": {6001, "n", ""},
	} {
		late := with(func(t *CallerRecord) {
			t.Status, t.Config, t.AckedMillis, t.Node, t.EndMillis, t.DurationMillis = 404, 3, 1100, test.node, test.sentMillis+10, 10
		})
		var result Result
		result.checkWatcherLoss([]CallerRecord{late}, WatcherLoss{FromMillis: 1000, UntilMillis: 6000, Nodes: []string{"lost"}})
		if got := strings.Join(result.Violations, "; "); test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("after the loss of the watchers, %s: %q", name, got)
		}
	}
	// Later configurations have the route too, so a node that refuses it has one from before, unless
	// one without the route has been sent.
	for version, want := range map[int]string{4: "config", 34: "config", 35: ""} {
		callers, runs := recoveryRecords()
		recent := with(func(t *CallerRecord) {
			t.Status, t.Config, t.RouteVersions, t.AckedMillis, t.EndMillis = 404, 3, 32, 500, 3001
		})
		next := with(func(t *CallerRecord) {
			t.Config, t.ConfigSentMillis, t.AckedMillis, t.EndMillis = version, 2000, 2010, 3100
		})
		got := strings.Join(CheckRecords(append(callers, recent, next), append(runs, ran), 1000).Violations, "; ")
		if want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("version %d was sent meanwhile: %q", version, got)
		}
	}
	// A configuration may be active before its acknowledgement is recorded.
	for sentMillis, want := range map[int64]string{3001: "", 3002: "config"} {
		callers, runs := recoveryRecords()
		latest := with(func(t *CallerRecord) { t.Status, t.Config, t.AckedMillis, t.EndMillis = 404, 3, 500, 3001 })
		next := with(func(t *CallerRecord) {
			t.Config, t.ConfigSentMillis, t.AckedMillis, t.EndMillis = 4, sentMillis, 3010, 3100
		})
		got := strings.Join(CheckRecords(append(callers, latest, next), append(runs, ran), 1000).Violations, "; ")
		if want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("the next configuration was sent at %d: %q", sentMillis, got)
		}
	}
	if result := CheckRecords(nil, nil, 0); len(result.Violations) != 1 || !strings.Contains(result.Violations[0], "recovery") {
		t.Errorf("no requests: %v", result.Violations)
	}
}

// Guards against checks of logs that miss a version that decreases or a node that
// stays behind, or that fail on a last line that a kill truncated.
func TestCheckLogs(t *testing.T) {
	write := func(name, text string) string {
		path := filepath.Join(t.TempDir(), name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := write("a", `{"event":"start"}
{"event":"config","config":3,"was":0}
{"event":"config","config":5,"was":3}
{"event":"conf`)
	var result Result
	if err := result.CheckLogs([]string{good}); err != nil || len(result.Violations) != 0 {
		t.Fatalf("%v, %v", result.Violations, err)
	}
	reverted := write("b", "{\"event\":\"config\",\"config\":4,\"was\":5}\n")
	if err := result.CheckLogs([]string{good, reverted}); err != nil || len(result.Violations) != 2 {
		t.Fatalf("%v, %v", result.Violations, err)
	}
}

// connect returns a proxy, the client end of a connection through it, and the
// server end.
func connect(t *testing.T) (*Proxy, net.Conn, net.Conn) {
	t.Helper()
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewProxy(server.Addr().String())
	in, out := connectThrough(t, p, server)
	t.Cleanup(func() { _ = server.Close() })
	return p, in, out
}

// connectThrough returns both ends of a connection through the proxy.
func connectThrough(t *testing.T, p *Proxy, server net.Listener) (in, out net.Conn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = p.Serve(listener) }()
	in, err = net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	out, err = server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = in.Close(); _ = out.Close(); _ = listener.Close() })
	return in, out
}

// bytePasses reports whether a byte arrives at the other end.
func bytePasses(t *testing.T, from, to net.Conn) bool {
	t.Helper()
	if _, err := from.Write([]byte("x")); err != nil {
		return false
	}
	_ = to.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
	_, err := io.ReadFull(to, make([]byte, 1))
	return err == nil
}

func TestProxyModes(t *testing.T) {
	for _, test := range []struct {
		mode    Mode
		in, out bool
	}{
		{ModePass, true, true}, {ModeDelay, true, true}, {ModeBlackhole, false, false},
		{ModeBlockUpstream, false, true}, {ModeBlockDownstream, true, false},
	} {
		p, in, out := connect(t)
		if err := p.SetMode(test.mode); err != nil {
			t.Fatal(err)
		}
		if got := bytePasses(t, in, out); got != test.in {
			t.Errorf("%s: upstream %v", test.mode, got)
		}
		if got := bytePasses(t, out, in); got != test.out {
			t.Errorf("%s: downstream %v", test.mode, got)
		}
	}
	if err := NewProxy("").SetMode("nonsense"); err == nil {
		t.Error("an unknown mode was accepted")
	}
}

// Each node has to be asked for the new routes and with the new keys under an id of its own. Probes that share a
// record ask one node several times and leave others out.
func TestEachNodeIsProbed(t *testing.T) {
	const nodes = 8
	var mu sync.Mutex
	asked := make(map[string]string)
	c := Callers{AckedConfigs: filepath.Join(t.TempDir(), "acked"), IDPrefix: "s", Timeout: time.Second, Services: []string{"s"}}
	c.out = io.Discard
	for i := range nodes {
		server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			mu.Lock()
			defer mu.Unlock()
			asked[r.Header.Get(platform.HeaderRequestID)] = fmt.Sprint(i)
		}))
		defer server.Close()
		c.Nodes = append(c.Nodes, strings.TrimPrefix(server.URL, "http://"))
	}
	line, err := json.Marshal(AckedConfig{Version: 1, AckedMillis: 1})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(c.AckedConfigs, append(line, '\n'), 0o600); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*probeInterval)
	defer cancel()
	c.probeConfigs(ctx)
	for i := range nodes {
		if got := asked[fmt.Sprintf("s-config-0-0-%d", i)]; got != fmt.Sprint(i) {
			t.Errorf("the probe of node %d went to node %q", i, got)
		}
		if got := asked[fmt.Sprintf("s-key-0-0-%d", i)]; got != fmt.Sprint(i) {
			t.Errorf("the probe of node %d with a key went to node %q", i, got)
		}
	}
}

// A severed connection must stay silent for good, and new ones must pass: otherwise the
// soak would inject a cut in place of silent connections.
func TestSeverSilencesOpenConnectionsForGood(t *testing.T) {
	p, in, out := connect(t)
	if err := p.SetMode(ModeSever); err != nil {
		t.Fatal(err)
	}
	if bytePasses(t, in, out) || bytePasses(t, out, in) {
		t.Error("a severed connection passes bytes")
	}
	_, newIn, newOut := connect(t)
	if !bytePasses(t, newIn, newOut) {
		t.Error("a new connection passes no bytes")
	}
	_ = in.Close() // the other end must not notice
	_ = out.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := out.Read(make([]byte, 1)); !os.IsTimeout(err) {
		t.Errorf("the other end of a severed connection read %v", err)
	}
}

// A connection whose server end is open when the severing comes must be silenced too,
// also if the proxy has not begun to forward on it.
func TestSeverSilencesConnectionsBeingOpened(t *testing.T) {
	server, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	p := NewProxy(server.Addr().String())
	p.dial = func(network, address string) (net.Conn, error) {
		conn, err := net.Dial(network, address)
		return conn, errors.Join(err, p.SetMode(ModeSever))
	}
	in, out := connectThrough(t, p, server)
	if bytePasses(t, in, out) || bytePasses(t, out, in) {
		t.Error("a severed connection passes bytes")
	}
}

// Guards against a check that lets a request crash targets without an end, or that counts
// the crashes until the third one and those of the seconds after it.
func TestCheckPoison(t *testing.T) {
	for late, want := range map[int]string{maxLateCrashes: "", maxLateCrashes + 1: "poison"} {
		callers, runs := recoveryRecords()
		add := func(id string, at int64) {
			callers = append(callers, CallerRecord{ID: id, ExpectedBody: "x", Poison: true, Key: KeyLasting, Organisation: "o"})
			runs = append(runs, RunRecord{ID: id, Request: "x", StartMillis: at, Organisations: []string{"o"}})
		}
		for i := range crashesBeforeQuarantine {
			add("early"+string(rune('a'+i)), 100)
		}
		add("in time", 100+quarantineDelay.Milliseconds())
		for i := range late {
			add("late"+string(rune('a'+i)), 101+quarantineDelay.Milliseconds())
		}
		got := strings.Join(CheckRecords(callers, runs, 1000).Violations, "; ")
		if want == "" && got != "" || !strings.Contains(got, want) {
			t.Errorf("%d late crashes: %q, want %q", late, got, want)
		}
	}
}

// The check counted the crashes of one path and body under two callers as those of one request,
// and failed runs in which each of the two kept its limits. The limits hold for each of them, and
// a node must not name another caller to escape them.
func TestCheckPoisonCountsEachCallersRequest(t *testing.T) {
	for name, test := range map[string]struct {
		late   int
		caller func(node string) string
		want   string
	}{
		"each keeps its limits":         {maxLateCrashes, func(node string) string { return "of-" + node }, ""},
		"each exceeds its limits":       {maxLateCrashes + 1, func(node string) string { return "of-" + node }, "poison"},
		"the same caller at both nodes": {maxLateCrashes, func(string) string { return "of-both" }, "poison"},
		"no caller":                     {maxLateCrashes, func(string) string { return "" }, "poison"},
		"a node that changes callers":   {0, nil, "caller"},
	} {
		callers, runs := recoveryRecords()
		add := func(node string, at int64) {
			id := fmt.Sprint("poison-", len(runs))
			caller := id
			if test.caller != nil {
				caller = test.caller(node)
			}
			callers = append(callers, CallerRecord{ID: id, Node: node, ExpectedBody: "x", Poison: true, Key: KeyLasting, Organisation: "o"})
			runs = append(runs, RunRecord{ID: id, Request: "x", CallerService: caller, StartMillis: at, Organisations: []string{"o"}})
		}
		for _, node := range []string{"a", "b"} {
			for range crashesBeforeQuarantine {
				add(node, 100)
			}
			for range test.late {
				add(node, 101+quarantineDelay.Milliseconds())
			}
		}
		got := strings.Join(CheckRecords(callers, runs, 1000).Violations, "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
	}
}

// Guards against probes of a configuration that need not be in force yet, or of an outdated one.
func TestLatestInForce(t *testing.T) {
	acked := []AckedConfig{{Version: 1, AckedMillis: 1000}, {Version: 2, AckedMillis: 1300}, {Version: 3, AckedMillis: 1600}}
	limit := maxActivationDelay.Milliseconds()
	for at, want := range map[int64]int{1000 + limit: 0, 1001 + limit: 1, 1300 + limit: 1, 1301 + limit: 2, 1601 + limit: 3} {
		if got, ok := latestInForce(acked, time.UnixMilli(at)); got.Version != want || ok != (want > 0) {
			t.Errorf("at %d: version %d, %t, want %d", at, got.Version, ok, want)
		}
	}
}
