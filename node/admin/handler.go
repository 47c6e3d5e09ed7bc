package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenatrestle/process/configstore"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// DefaultCommitTimeout bounds how long a change waits for the platform.
const DefaultCommitTimeout = 8 * time.Second

// Committer makes changes. *configstore.Committer is one.
type Committer interface {
	// Commit makes a change on behalf of an actor.
	Commit(ctx context.Context, change version.Change, actor string) (configstore.CommitResult, error)
}

// Store has the configuration in force. *configstore.Store is one.
type Store interface {
	// Active returns the configuration in force, or nil.
	Active() *configstore.ActiveConfig
}

// Options is what the API needs of the node. All fields but CommitTimeout are
// needed.
type Options struct {
	// Node is the node's name, for problem documents.
	Node string
	// Token is the bearer token. An empty one refuses every request.
	Token string
	// Committer makes changes.
	Committer Committer
	// Store has the configuration in force.
	Store Store
	// State returns each part of the state dump, as a value that can be
	// written as JSON.
	State map[string]func() any
	// Nodes returns which version is in force on each node that is known.
	Nodes func() []NodeStatus
	// Metrics are written at /metrics.
	Metrics metrics.Registry
	// Now returns the wall-clock time, for dry runs.
	Now func() time.Time
	// CommitTimeout bounds a change. Zero means DefaultCommitTimeout.
	CommitTimeout time.Duration
}

// handler serves the API.
type handler struct {
	options Options
	token   [sha256.Size]byte
}

// New returns the handler of the API.
func New(options Options) http.Handler {
	if options.CommitTimeout <= 0 {
		options.CommitTimeout = DefaultCommitTimeout
	}
	h := &handler{options: options, token: sha256.Sum256([]byte(options.Token))}
	mux := http.NewServeMux()
	h.route(mux, http.MethodPost, "/v1/apply", h.apply)
	h.route(mux, http.MethodGet, "/v1/configuration", h.configuration)
	h.route(mux, http.MethodGet, "/v1/history", h.history)
	h.route(mux, http.MethodPut, "/v1/datacentres/{name}", h.setDataCentreState)
	h.route(mux, http.MethodPut, "/v1/targets/{name}", h.setTargetState)
	h.route(mux, http.MethodGet, "/v1/state", h.state)
	h.route(mux, http.MethodGet, "/v1/status", h.status)
	h.route(mux, http.MethodGet, "/metrics", h.metrics)
	mux.HandleFunc("/", h.notFound)
	return h.authorised(mux)
}

// route serves a path for one method and refuses the others.
func (h *handler) route(mux *http.ServeMux, method, path string, serve http.HandlerFunc) {
	mux.HandleFunc(method+" "+path, serve)
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", method)
		h.fail(w, http.StatusMethodNotAllowed, "route", "%s allows %s, not %s", path, method, r.Method)
	})
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.fail(w, http.StatusNotFound, "route", "the administration API has no path %q", r.URL.Path)
}

// authorised lets requests with the token through. It compares hashes of
// constant size in constant time.
func (h *handler) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		given := sha256.Sum256([]byte(token))
		same := subtle.ConstantTimeCompare(given[:], h.token[:]) == 1
		if !ok || !same || h.options.Token == "" {
			w.Header().Set("WWW-Authenticate", "Bearer")
			h.fail(w, http.StatusUnauthorized, "authorise", "the bearer token is missing or wrong")
			return
		}
		next.ServeHTTP(w, r)
	})
}

// writeJSON writes an answer.
func (h *handler) writeJSON(w http.ResponseWriter, answer any) {
	body, err := json.Marshal(answer)
	if err != nil {
		h.fail(w, http.StatusInternalServerError, "encode answer", "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// fail writes a problem document for a request that was not carried out.
func (h *handler) fail(w http.ResponseWriter, status int, step, format string, args ...any) {
	h.writeProblem(w, h.problem(status, request.NotRun, step, format, args...))
}
