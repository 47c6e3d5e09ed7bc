package admin

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"verbenatrestle/process/configstore"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// retryAfterSeconds is the Retry-After of the statuses 503 and 504, which a change
// gets during an outage of the platform.
const retryAfterSeconds = "1"

// problem returns a problem document of this node. The format and args make up its
// detail.
func (h *handler) problem(status int, outcome request.Outcome, step, format string, args ...any) *Problem {
	return &Problem{Failure: request.Failure{
		Status:  status,
		Title:   http.StatusText(status),
		Detail:  fmt.Sprintf(format, args...),
		Outcome: outcome,
		Step:    step,
		Peer:    h.options.Node,
	}}
}

// writeProblem writes a problem document as the response.
func (h *handler) writeProblem(w http.ResponseWriter, p *Problem) {
	body, err := json.Marshal(p)
	if err != nil {
		http.Error(w, p.Detail, p.Status)
		return
	}
	if p.Status == http.StatusServiceUnavailable || p.Status == http.StatusGatewayTimeout {
		w.Header().Set("Retry-After", retryAfterSeconds)
	}
	w.Header().Set("Content-Type", request.ContentTypeProblem)
	w.Header().Set(request.HeaderOutcome, string(p.Outcome))
	w.WriteHeader(p.Status)
	_, _ = w.Write(append(body, '\n'))
}

// changeFailed writes the problem document for a change that was not accepted.
func (h *handler) changeFailed(w http.ResponseWriter, change version.Change, err error) {
	p := h.changeProblem(change, err)
	p.OperationID = change.OperationID
	h.writeProblem(w, p)
}

// changeProblem returns the problem document for an error of a change.
func (h *handler) changeProblem(change version.Change, err error) *Problem {
	const step = "commit configuration"
	var unknown *configstore.UnknownOutcomeError
	var unavailable *configstore.UnavailableError
	var conflict *version.ConflictError
	var invalid *version.InvalidError
	switch {
	case errors.As(err, &unknown):
		return h.problem(http.StatusGatewayTimeout, request.Unknown, step, "%v", err)
	case errors.As(err, &unavailable):
		return h.problem(http.StatusServiceUnavailable, request.NotRun, step, "%v", err)
	case errors.As(err, &conflict):
		status := http.StatusConflict
		if change.Base != 0 && len(conflict.Resources) == 0 {
			status = http.StatusPreconditionFailed
		}
		p := h.problem(status, request.NotRun, step, "%v", err)
		p.Version, p.ChangesSince = conflict.Version, conflict.ChangesSince
		return p
	case errors.As(err, &invalid):
		p := h.problem(http.StatusUnprocessableEntity, request.NotRun, "check configuration", "%v", err)
		p.Problems = invalid.Problems
		return p
	}
	return h.problem(http.StatusUnprocessableEntity, request.NotRun, step, "%v", err)
}
