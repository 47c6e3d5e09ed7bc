package admin

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"verbenatrestle/version"
)

const (
	// maxApplyBytes bounds the body of POST /v1/apply.
	maxApplyBytes = 4 << 20
	// maxAdminStateBytes bounds the body of an AdminStateRequest.
	maxAdminStateBytes = 1 << 10
	// bodyName is the file name in problems of a body that is plain YAML.
	bodyName = "body"
	// unknownActor is the actor in the history of a change without HeaderActor.
	unknownActor = "unknown"
	// queryDryRun is the query parameter of a change that is only to be checked.
	queryDryRun = "dry_run"
)

// apply serves POST /v1/apply.
func (h *handler) apply(w http.ResponseWriter, r *http.Request) {
	body, ok := h.readBody(w, r, maxApplyBytes)
	if !ok {
		return
	}
	files, err := decodeFiles(r.Header.Get("Content-Type"), body)
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read change", "%v", err)
		return
	}
	change, ok := h.newChange(w, r)
	if !ok {
		return
	}
	change.Files = files
	h.commitOrDryRun(w, r, change)
}

// commitOrDryRun makes a change, or only checks it if the query says so.
func (h *handler) commitOrDryRun(w http.ResponseWriter, r *http.Request, change version.Change) {
	dryRun, err := parseDryRun(r.URL.RawQuery)
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read change", "%v", err)
		return
	}
	if dryRun {
		h.dryRun(w, r, change)
		return
	}
	h.commit(w, r, change)
}

// parseDryRun returns the value of dry_run in the query of a change. An empty one is
// false. Other parameters are errors, lest a misspelt dry_run makes the change.
func parseDryRun(rawQuery string) (bool, error) {
	query, err := url.ParseQuery(rawQuery)
	if err != nil {
		return false, errors.Wrap(err, "parse query")
	}
	for name, values := range query {
		if name != queryDryRun {
			return false, errors.Errorf("unknown query parameter %q; the known one is %s", name, queryDryRun)
		}
		if len(values) > 1 {
			return false, errors.Errorf("%s is given %d times", queryDryRun, len(values))
		}
	}
	text := query.Get(queryDryRun)
	if text == "" {
		return false, nil
	}
	dryRun, err := strconv.ParseBool(text)
	return dryRun, errors.Wrap(err, queryDryRun)
}

// decodeFiles returns the files of a body, which is YAML, or a JSON list if the
// content type is application/json.
func decodeFiles(contentType string, body []byte) ([]version.File, error) {
	media, _, err := mime.ParseMediaType(contentType)
	if err != nil && contentType != "" {
		return nil, errors.Wrap(err, "content type")
	}
	if media != "application/json" {
		return []version.File{{Name: bodyName, Text: string(body)}}, nil
	}
	var files []version.File
	if err := decodeStrict(body, &files); err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return nil, errors.New("the list of files is empty")
	}
	return files, nil
}

// decodeStrict decodes a body that is one JSON value. Unknown fields are errors.
func decodeStrict(body []byte, into any) error {
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return errors.Wrap(err, "decode body")
	}
	if decoder.More() {
		return errors.New("decode body: more than one value")
	}
	return nil
}

// readBody reads a body of at most limit bytes. On an error it writes the failure
// and returns false.
func (h *handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		h.fail(w, http.StatusRequestEntityTooLarge, "read body", "the body has more than %d bytes", limit)
		return nil, false
	}
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read body", "%v", err)
		return nil, false
	}
	return body, true
}

// newChange returns a change with the operation ID and base version of the
// headers. If a header is invalid, it writes the failure and returns false.
func (h *handler) newChange(w http.ResponseWriter, r *http.Request) (version.Change, bool) {
	change := version.Change{OperationID: r.Header.Get(HeaderOperationID)}
	if change.OperationID == "" {
		change.OperationID = uuid.Must(uuid.NewV7()).String()
	}
	base, err := parseIfMatch(r.Header.Get("If-Match"))
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read change", "If-Match: %v", err)
		return version.Change{}, false
	}
	change.Base = base
	return change, true
}

// parseIfMatch returns the version in an If-Match header, or zero if any version
// matches.
func parseIfMatch(header string) (uint64, error) {
	if header == "" || header == "*" {
		return 0, nil
	}
	number, err := strconv.ParseUint(strings.Trim(header, `"`), 10, 64)
	if err != nil || number == 0 {
		return 0, errors.Errorf("%q is not a version", header)
	}
	return number, nil
}

// dryRun checks a change against the active configuration and doesn't make it.
func (h *handler) dryRun(w http.ResponseWriter, r *http.Request, change version.Change) {
	doc := h.document()
	next, err := version.Apply(doc, change, h.options.Now(), actor(r))
	if err != nil {
		h.changeFailed(w, change, err)
		return
	}
	h.writeJSON(w, ChangeResponse{
		Version:     doc.Version,
		OperationID: change.OperationID,
		Summary:     strings.Join(version.Diff(doc, next), "; "),
		DryRun:      true,
	})
}

// commit makes a change. It continues if the operator's connection breaks, so that
// the change is not abandoned midway.
func (h *handler) commit(w http.ResponseWriter, r *http.Request, change version.Change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), h.options.CommitTimeout)
	defer cancel()
	result, err := h.options.Committer.Commit(ctx, change, actor(r))
	if err != nil {
		h.changeFailed(w, change, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(result.Entry.Version, 10)))
	h.writeJSON(w, ChangeResponse{
		Version:     result.Entry.Version,
		OperationID: change.OperationID,
		AcceptedAt:  result.Entry.At,
		Summary:     result.Entry.Summary,
		Repeated:    result.Repeated,
	})
}

// actor returns the actor that a request names.
func actor(r *http.Request) string {
	if name := r.Header.Get(HeaderActor); name != "" {
		return name
	}
	return unknownActor
}

// setDataCentreState serves PUT /v1/datacentres/{name}.
func (h *handler) setDataCentreState(w http.ResponseWriter, r *http.Request) {
	if change, s, ok := h.readAdminState(w, r); ok {
		change.DataCentres = []version.AdminStateChange{s}
		h.commitOrDryRun(w, r, change)
	}
}

// setTargetState serves PUT /v1/targets/{name}.
func (h *handler) setTargetState(w http.ResponseWriter, r *http.Request) {
	if change, s, ok := h.readAdminState(w, r); ok {
		change.Targets = []version.AdminStateChange{s}
		h.commitOrDryRun(w, r, change)
	}
}

// readAdminState reads an AdminStateRequest. On an error it writes the failure and
// returns false.
func (h *handler) readAdminState(w http.ResponseWriter, r *http.Request) (version.Change, version.AdminStateChange, bool) {
	body, ok := h.readBody(w, r, maxAdminStateBytes)
	if !ok {
		return version.Change{}, version.AdminStateChange{}, false
	}
	var requested AdminStateRequest
	err := decodeStrict(body, &requested)
	if err == nil && requested.State != StateIn && requested.State != StateOut {
		err = errors.Errorf("state %q is neither %q nor %q", requested.State, StateIn, StateOut)
	}
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read change", "%v", err)
		return version.Change{}, version.AdminStateChange{}, false
	}
	change, ok := h.newChange(w, r)
	return change, version.AdminStateChange{Name: r.PathValue("name"), OutOfService: requested.State == StateOut}, ok
}
