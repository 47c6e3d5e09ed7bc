package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// earlyTarget is a target that answers early, and what it has recorded.
type earlyTarget struct {
	address string
	mu      sync.Mutex
	records []RunRecord
}

func (e *earlyTarget) add(record RunRecord) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records = append(e.records, record)
}

// wait returns the records once there are as many, or those that there are after a while.
func (e *earlyTarget) wait(count int) []RunRecord {
	for range 1000 {
		e.mu.Lock()
		records := append([]RunRecord(nil), e.records...)
		e.mu.Unlock()
		if len(records) >= count {
			return records
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

func startEarlyTarget(t *testing.T) *earlyTarget {
	t.Helper()
	e := &earlyTarget{}
	listener, err := ListenTarget(t.Context(), "127.0.0.1:0", func() { e.add(RunRecord{Instance: "i", Malformed: true}) })
	if err != nil {
		t.Fatal(err)
	}
	target := standin.NewTarget(standin.TargetOptions{Instance: "i", Slots: 1, AnswersEarly: AnswersEarly})
	target.OnRun(func(run standin.Run, drainAckedAt time.Time) { e.add(NewRunRecord(&run, "i", "s", drainAckedAt)) })
	standin.Serve(t.Context(), listener, target)
	e.address = listener.Addr().String()
	return e
}

// headOf returns the head of a request as a node sends it.
func headOf(id string, length int) string {
	return fmt.Sprintf("PUT /s/%s HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: o\r\nContent-Length: %d\r\n\r\n", id, platform.HeaderRequestID, id, platform.HeaderOrganisation, length)
}

// Guards against a node that sends other bytes where the rest of a long body is due after an early
// answer, or that begins the next request elsewhere, and against a target that does not answer early or
// reports requests that are cut off. Each case is what follows the first part of the body.
func TestRestOfBodyAfterEarlyAnswer(t *testing.T) {
	const id, length, first = "s" + earlyMark + "1", 500 << 10, 10 << 10
	body := uniqueBody(id, length)
	next := headOf("r", 1) + "x"
	for name, test := range map[string]struct {
		rest    string
		records int
		want    string
	}{
		"the rest and the next request": {body[first:] + next, 2, ""},
		"cut off":                       {body[first : length/2], 1, ""},
		"a part left out":               {body[first+100:] + next, 1, "unasked: other bytes"},
		"the next request too early":    {body[first:length/2] + next + body[length/2+len(next):], 1, "unasked: other bytes"},
		"the next request, then cut":    {body[first:length/2] + next, 1, "unasked: other bytes"},
		"bytes after the rest":          {body[first:] + "more", 1, ""},
		"a line after the rest":         {body[first:] + body[:first] + "\r\n\r\n" + next, 2, "unasked: bytes that are no request"},
		"a request that nobody sent":    {body[first:] + headOf("smuggled", 0), 2, "unasked: smuggled"},
	} {
		target := startEarlyTarget(t)
		conn, err := net.Dial("tcp4", target.address)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
		if _, err := io.WriteString(conn, headOf(id, length)+body[:first]); err != nil {
			t.Fatal(err)
		}
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			t.Fatalf("%s: no early answer: %v", name, err)
		}
		if response.StatusCode != standin.EarlyStatus || response.Close || response.Header.Get(platform.HeaderSignature) == "" {
			t.Errorf("%s: answer %v", name, response)
		}
		_, _ = io.WriteString(conn, test.rest) // fails where the target closes the connection
		_ = conn.(*net.TCPConn).CloseWrite()   // as above
		sent := message{method: http.MethodPut, path: "/s/" + id, body: body}
		callers, runs := recoveryRecords()
		callers = append(callers,
			CallerRecord{ID: id, ExpectedBody: summarize(sent.text()), Early: true, Key: KeyLasting, Organisation: "o"},
			CallerRecord{ID: "r", ExpectedBody: "PUT /s/r x", Key: KeyLasting, Organisation: "o"})
		records := target.wait(test.records)
		if len(records) != test.records {
			t.Errorf("%s: records %+v", name, records)
		}
		got := strings.Join(CheckRecords(callers, append(runs, records...), 1000).Violations, "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: %q, want %q", name, got, test.want)
		}
		_ = conn.Close()
	}
}

// Guards against a target that takes a request whose head is cut off for a malformed one.
func TestHeadThatIsCutOffIsNotMalformed(t *testing.T) {
	for _, test := range []struct {
		text string
		want int
	}{{"PUT /s/1 HTTP/1.1\r\nHos", 0}, {"no request\r\n\r\n", 1}} {
		target := startEarlyTarget(t)
		conn, err := net.Dial("tcp4", target.address)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.WriteString(conn, test.text)
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, conn) // until the target closes the connection
		if records := target.wait(test.want); len(records) != test.want {
			t.Errorf("%q: records %+v", test.text, records)
		}
		_ = conn.Close()
	}
}

// Guards against a check that misses an early answer that is not that of the target, or that takes the
// answer of a target for an error.
func TestCheckEarlyAnswers(t *testing.T) {
	good := CallerRecord{
		ID: "r", ExpectedBody: "x", Status: standin.EarlyStatus, Body: standin.EarlyBody, Signature: "s.r", ResponseID: "r", Early: true,
		Key: KeyLasting, Organisation: "o", EndMillis: 2000,
	}
	with := func(change func(*CallerRecord)) CallerRecord { record := good; change(&record); return record }
	run := RunRecord{ID: "r", Request: "x", Organisations: []string{"o"}}
	cut := run
	cut.Incomplete, cut.Request = true, "only a part"
	for name, test := range map[string]struct {
		caller CallerRecord
		runs   []RunRecord
		want   string
	}{
		"answered early":               {good, []RunRecord{run}, ""},
		"the rest is cut off":          {good, []RunRecord{cut}, ""},
		"answered as if it had ended":  {with(func(c *CallerRecord) { c.Status = 200 }), []RunRecord{run}, "mixed"},
		"not signed":                   {with(func(c *CallerRecord) { c.Signature = "" }), []RunRecord{run}, "mixed"},
		"another body":                 {with(func(c *CallerRecord) { c.Body = "x" }), []RunRecord{run}, "mixed"},
		"changed":                      {good, []RunRecord{{ID: "r", Request: "z", Organisations: []string{"o"}}}, "changed"},
		"ran twice":                    {with(func(c *CallerRecord) { c.NonIdempotent = true }), []RunRecord{run, run}, "twice"},
		"a part of an unknown request": {good, []RunRecord{{ID: "q", Incomplete: true}}, "unasked"},
	} {
		callers, runs := recoveryRecords()
		checkViolations(t, name, append(callers, test.caller), append(runs, test.runs...), test.want)
	}
	callers, runs := recoveryRecords()
	for range 20 * len(callers) {
		callers = append(callers, good)
	}
	checkViolations(t, "recovery", callers, append(runs, run), "")
}
