package soak

import (
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// calm returns enough answered requests to show a recovery.
func calm() ([]CallerRecord, []RunRecord) {
	var told []CallerRecord
	var ran []RunRecord
	for i := range minCalm {
		id := "calm" + string(rune('a'+i))
		told = append(told, CallerRecord{ID: id, ExpectedBody: "x", Status: 200, Body: "x", Signature: id, ResponseID: id, EndMillis: 2000})
		ran = append(ran, RunRecord{ID: id, Request: "x", StartMillis: 1999})
	}
	return told, ran
}

func TestJudge(t *testing.T) {
	good := CallerRecord{ID: "r", NonIdempotent: true, ExpectedBody: "x", Status: 200, Body: "x", Signature: "s.r", ResponseID: "r"}
	ran := RunRecord{ID: "r", Request: "x", StartMillis: 10}
	with := func(change func(*CallerRecord)) CallerRecord { told := good; change(&told); return told }
	for name, test := range map[string]struct {
		told CallerRecord
		ran  []RunRecord
		want string
	}{
		"kept":            {good, []RunRecord{ran}, ""},
		"twice":           {good, []RunRecord{ran, ran}, "twice"},
		"lied":            {with(func(t *CallerRecord) { t.Status = 503 }), []RunRecord{ran}, "lied"},
		"not run":         {with(func(t *CallerRecord) { t.Status = 503 }), nil, ""},
		"made up":         {good, nil, "made up"},
		"another body":    {with(func(t *CallerRecord) { t.Body = "y" }), []RunRecord{ran}, "mixed"},
		"another id":      {with(func(t *CallerRecord) { t.ResponseID = "q" }), []RunRecord{ran}, "mixed"},
		"no signature":    {with(func(t *CallerRecord) { t.Signature = "" }), []RunRecord{ran}, "mixed"},
		"changed":         {good, []RunRecord{{ID: "r", Request: "z"}}, "changed"},
		"denied":          {with(func(t *CallerRecord) { t.Status = 404 }), nil, "denied"},
		"unasked":         {good, []RunRecord{ran, {ID: "smuggled"}}, "unasked"},
		"after the leave": {good, []RunRecord{{ID: "r", Request: "x", StartMillis: 5001, DrainAckedMillis: 3000}}, "drain"},
		"in the bound":    {good, []RunRecord{{ID: "r", Request: "x", StartMillis: 4999, DrainAckedMillis: 3000}}, ""},
		"no answer":       {with(func(t *CallerRecord) { t.Status = 0 }), []RunRecord{ran}, ""},
	} {
		told, calmRuns := calm()
		v := CheckRecords(append(told, test.told), append(calmRuns, test.ran...), 1000)
		got := strings.Join(v.Violations, "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q", name, got)
		}
	}
	if v := CheckRecords(nil, nil, 0); len(v.Violations) != 1 || !strings.Contains(v.Violations[0], "recovery") {
		t.Errorf("nothing asked: %v", v.Violations)
	}
}

func TestJudgeLogs(t *testing.T) {
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
	var v Result
	if err := v.CheckLogs([]string{good}); err != nil || len(v.Violations) != 0 {
		t.Fatalf("%v, %v", v.Violations, err)
	}
	reverted := write("b", "{\"event\":\"config\",\"config\":4,\"was\":5}\n")
	if err := v.CheckLogs([]string{good, reverted}); err != nil || len(v.Violations) != 2 {
		t.Fatalf("%v, %v", v.Violations, err)
	}
}

// pair returns a connection through the proxy and its other end.
func pair(t *testing.T) (*Proxy, net.Conn, net.Conn) {
	t.Helper()
	behind, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := NewProxy(behind.Addr().String())
	go func() { _ = p.Serve(front) }()
	in, err := net.Dial("tcp4", front.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	out, err := behind.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = in.Close(); _ = out.Close(); _ = front.Close(); _ = behind.Close() })
	return p, in, out
}

// passes reports whether a byte gets from one end to the other.
func passes(t *testing.T, from, to net.Conn) bool {
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
		p, in, out := pair(t)
		if err := p.SetMode(test.mode); err != nil {
			t.Fatal(err)
		}
		if got := passes(t, in, out); got != test.in {
			t.Errorf("%s: inwards %v", test.mode, got)
		}
		if got := passes(t, out, in); got != test.out {
			t.Errorf("%s: outwards %v", test.mode, got)
		}
	}
	if err := NewProxy("").SetMode("nonsense"); err == nil {
		t.Error("an unknown mode was taken")
	}
}
