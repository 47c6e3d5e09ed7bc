package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/platform/standin"
)

// CallerRecord is a caller's record of one request and its response.
type CallerRecord struct {
	// ID is the request ID.
	ID string `json:"id"`
	// NonIdempotent means that the request must not run twice.
	NonIdempotent bool `json:"once"`
	// ExpectedBody is the body of the correct response: the method, path and body
	// of the request. Like Body and RunRecord.Request, it is summarized if it is long.
	ExpectedBody string `json:"asked"`
	// Status is the HTTP status, or 0 without a response.
	Status int `json:"status"`
	// Body and Signature are the body and the signature header of the response.
	Body      string `json:"body"`
	Signature string `json:"signature"`
	// ResponseID is the request ID in the response.
	ResponseID string `json:"answer_id"`
	// Node is the address that the request was sent to.
	Node string `json:"node"`
	// NodeService is the service of that node by its settings. Empty means that it is not known.
	NodeService string `json:"node_service,omitempty"`
	// EndMillis is when the request ended, in Unix milliseconds.
	EndMillis int64 `json:"at_ms"`
	// DurationMillis is the time from sending the request to its end, in
	// milliseconds.
	DurationMillis int64 `json:"took_ms"`
	// Key says which API key the request has, and Organisation is the organisation that
	// the configurations give that key, or empty. Public means that the route needs no key.
	Key          KeyUse `json:"key,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Public       bool   `json:"public,omitempty"`
	// Config is the version of the configuration whose own route or key the request has, or
	// 0 for other requests. ConfigSentMillis is when that version was sent to the store,
	// AckedMillis when the store acknowledged it, and SupersededMillis when it acknowledged
	// the next one, or 0, in Unix milliseconds.
	Config           int   `json:"config,omitempty"`
	ConfigSentMillis int64 `json:"config_sent_ms,omitempty"`
	AckedMillis      int64 `json:"acked_ms,omitempty"`
	SupersededMillis int64 `json:"superseded_ms,omitempty"`
	// RouteVersions is how many versions from Config on have the route, or 0 if only that one has
	// it. The configuration that superseded it is then the first one without the route.
	RouteVersions int `json:"route_versions,omitempty"`
	// Poison means that targets crash when they run the request.
	Poison bool `json:"poison,omitempty"`
	// Early means that targets answer the request before they read its body.
	Early bool `json:"early,omitempty"`
	// Broken means that targets send no valid answer to the request.
	Broken bool `json:"broken,omitempty"`
	// Ambiguous means that the request has no clear end. ExpectedBody is only the start of the
	// response then.
	Ambiguous bool `json:"ambiguous,omitempty"`
	// BehindClose means that the response before this one on its connection announced the close.
	BehindClose bool `json:"behind_close,omitempty"`
	// Failure is the error of a request without a response.
	Failure string `json:"failure,omitempty"`
}

// RunRecord is a target's record of one run of a request.
type RunRecord struct {
	// ID is the request ID.
	ID string `json:"id"`
	// Instance and Service are the names of the target's instance and service.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Request is the method, path and body of the request.
	Request string `json:"asked"`
	// CallerService and Organisations are what the headers said of the caller.
	CallerService string   `json:"caller,omitempty"`
	Organisations []string `json:"organisations,omitempty"`
	// Incomplete means that the connection ended before the rest of the body came, after an
	// early answer, so that the request did not run. WrongRest means that other bytes came in
	// place of the rest.
	Incomplete bool `json:"incomplete,omitempty"`
	WrongRest  bool `json:"wrong_rest,omitempty"`
	// Malformed means that bytes that are no request came where one begins. Only Instance
	// and Service are set then.
	Malformed bool `json:"malformed,omitempty"`
	// HasKey means that a header held an API key.
	HasKey bool `json:"has_key,omitempty"`
	// StartMillis is when the run began, in Unix milliseconds.
	StartMillis int64 `json:"at_ms"`
	// Cold means that the target was cold then.
	Cold bool `json:"cold,omitempty"`
	// DrainAckedMillis is when a node acknowledged that the target drains, in Unix
	// milliseconds, or zero.
	DrainAckedMillis int64 `json:"acked_ms"`
}

// NewRunRecord returns the record of a run at a target. drainAckedAt is when a node
// acknowledged that the target drains, or zero.
func NewRunRecord(run *standin.Run, instance, service string, drainAckedAt time.Time) RunRecord {
	record := RunRecord{
		ID: run.ID, Instance: instance, Service: service, Request: summarize(run.Method + " " + run.RequestURI + " " + run.Body),
		CallerService: run.CallerService, Organisations: run.Organisations, HasKey: run.HasKey, StartMillis: run.StartTime.UnixMilli(), Cold: run.Cold,
		Incomplete: run.Incomplete, WrongRest: AnswersEarly(run.ID) && run.Body != uniqueBody(run.ID, len(run.Body)),
	}
	if !drainAckedAt.IsZero() {
		record.DrainAckedMillis = drainAckedAt.UnixMilli()
	}
	return record
}

// AckedConfig is the record of a configuration that the store acknowledged.
type AckedConfig struct {
	Version int `json:"version"`
	// SentMillis is when it was sent, in Unix milliseconds.
	SentMillis int64 `json:"sent_ms"`
	// AckedMillis is the time of the acknowledgement in Unix milliseconds.
	AckedMillis int64 `json:"at_ms"`
}

// AppendAckedConfig appends a record to a file.
func AppendAckedConfig(name string, acked AckedConfig) error {
	line, err := json.Marshal(acked)
	if err != nil {
		return errors.Wrap(err, "record configuration")
	}
	file, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "record configuration")
	}
	if _, err := file.Write(append(line, '\n')); err != nil {
		_ = file.Close() // the error of the write says more
		return errors.Wrap(err, "record configuration")
	}
	return errors.Wrap(file.Close(), "record configuration")
}

// readLines reads a file of JSON lines. It skips lines that are not valid JSON,
// such as a last line that was truncated when its writer was killed.
func readLines[T any](name string) ([]T, error) {
	file, err := os.Open(name)
	if err != nil {
		return nil, errors.Wrap(err, "read records")
	}
	defer file.Close()
	var all []T
	scanner := bufio.NewScanner(file)
	scanner.Buffer(make([]byte, 0, 64<<10), 1<<20)
	for scanner.Scan() {
		var one T
		if err := json.Unmarshal(scanner.Bytes(), &one); err != nil {
			continue
		}
		all = append(all, one)
	}
	return all, errors.Wrapf(scanner.Err(), "read records of %s", name)
}
