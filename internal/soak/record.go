package soak

import (
	"bufio"
	"encoding/json"
	"os"

	"github.com/pkg/errors"
)

// CallerRecord is what a caller was told of one request.
type CallerRecord struct {
	// ID is the request's id.
	ID string `json:"id"`
	// NonIdempotent tells that the request must not run twice.
	NonIdempotent bool `json:"once"`
	// ExpectedBody is what the answer has to repeat.
	ExpectedBody string `json:"asked"`
	// Status is the HTTP status, or 0 if there was no answer.
	Status int `json:"status"`
	// Body and Signature are those of the answer.
	Body      string `json:"body"`
	Signature string `json:"signature"`
	// ResponseID is the id in the answer.
	ResponseID string `json:"answer_id"`
	// Node is the address that was asked.
	Node string `json:"node"`
	// EndMillis is when the answer came, in Unix milliseconds.
	EndMillis int64 `json:"at_ms"`
	// DurationMillis is how long it took.
	DurationMillis int64 `json:"took_ms"`
	// Config is the version in force when the request was sent.
	Config int `json:"config"`
	// Failure is why there was no answer.
	Failure string `json:"failure,omitempty"`
}

// RunRecord is one run of a request at a target.
type RunRecord struct {
	// ID is the request's id.
	ID string `json:"id"`
	// Instance and Service name the target.
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Request is what was asked.
	Request string `json:"asked"`
	// StartMillis is when the run began, in Unix milliseconds.
	StartMillis int64 `json:"at_ms"`
	// DrainAckedMillis is when a node acknowledged that the target leaves, or zero.
	DrainAckedMillis int64 `json:"acked_ms"`
}

// readLines reads a file of JSON lines. A last line that was cut by a kill is
// passed over.
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
