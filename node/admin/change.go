package admin

import (
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"verbenatrestle/version"
)

const (
	// maxApplyBytes bounds the body of an apply, in bytes.
	maxApplyBytes = 4 << 20
	// maxSwitchBytes bounds the body of a switch, in bytes.
	maxSwitchBytes = 1 << 10
	// bodyName is the file name of a body that is plain YAML.
	bodyName = "body"
	// unknownActor stands in the history for who gives no name.
	unknownActor = "unknown"
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
	dryRun, err := parseFlag(r.URL.Query().Get("dry_run"))
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read change", "dry_run: %v", err)
		return
	}
	if dryRun {
		h.dryRun(w, r, change)
		return
	}
	h.commit(w, r, change)
}

func parseFlag(text string) (bool, error) {
	if text == "" {
		return false, nil
	}
	return strconv.ParseBool(text)
}

// decodeFiles returns the files of a body that is YAML or a JSON list.
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

// decodeStrict reads one JSON value without unknown fields.
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

// readBody reads a bounded body. It writes the failure if that fails.
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

// newChange returns a change with what the headers tell. It writes the
// failure if they are wrong.
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

// parseIfMatch returns the version that an If-Match header names, or zero for
// any.
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

// dryRun checks a change against the configuration in force.
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

// commit makes a change. It goes on when the operator's connection breaks, so
// that the change does not end half way.
func (h *handler) commit(w http.ResponseWriter, r *http.Request, change version.Change) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), h.options.CommitTimeout)
	defer cancel()
	accepted, err := h.options.Committer.Commit(ctx, change, actor(r))
	if err != nil {
		h.changeFailed(w, change, err)
		return
	}
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(accepted.Entry.Version, 10)))
	h.writeJSON(w, ChangeResponse{
		Version:     accepted.Entry.Version,
		OperationID: change.OperationID,
		AcceptedAt:  accepted.Entry.At,
		Summary:     accepted.Entry.Summary,
		Repeated:    accepted.Repeated,
	})
}

func actor(r *http.Request) string {
	if name := r.Header.Get(HeaderActor); name != "" {
		return name
	}
	return unknownActor
}

// switchDataCentre serves PUT /v1/datacentres/{name}.
func (h *handler) switchDataCentre(w http.ResponseWriter, r *http.Request) {
	if change, s, ok := h.readSwitch(w, r); ok {
		change.DataCentres = []version.AdminStateChange{s}
		h.commit(w, r, change)
	}
}

// switchTarget serves PUT /v1/targets/{name}.
func (h *handler) switchTarget(w http.ResponseWriter, r *http.Request) {
	if change, s, ok := h.readSwitch(w, r); ok {
		change.Targets = []version.AdminStateChange{s}
		h.commit(w, r, change)
	}
}

func (h *handler) readSwitch(w http.ResponseWriter, r *http.Request) (version.Change, version.AdminStateChange, bool) {
	body, ok := h.readBody(w, r, maxSwitchBytes)
	if !ok {
		return version.Change{}, version.AdminStateChange{}, false
	}
	var wanted AdminStateRequest
	err := decodeStrict(body, &wanted)
	if err == nil && wanted.State != StateIn && wanted.State != StateOut {
		err = errors.Errorf("state %q is neither %q nor %q", wanted.State, StateIn, StateOut)
	}
	if err != nil {
		h.fail(w, http.StatusBadRequest, "read change", "%v", err)
		return version.Change{}, version.AdminStateChange{}, false
	}
	change, ok := h.newChange(w, r)
	return change, version.AdminStateChange{Name: r.PathValue("name"), OutOfService: wanted.State == StateOut}, ok
}
