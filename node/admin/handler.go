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

// DefaultCommitTimeout is the default of Options.CommitTimeout.
const DefaultCommitTimeout = 8 * time.Second

// Committer makes changes. *configstore.Committer implements it.
type Committer interface {
	// Commit makes a change on behalf of an actor. If the change was made already,
	// the result says so. The errors are those of configstore.Committer.Commit.
	Commit(ctx context.Context, change version.Change, actor string) (configstore.CommitResult, error)
}

// Store holds the active configuration. *configstore.Store implements it.
type Store interface {
	// Active returns the active configuration, or nil if there is none.
	Active() *configstore.ActiveConfig
}

// Options are the parts of the node that the API uses. All fields except
// CommitTimeout are required.
type Options struct {
	// Node is the node's name, for problem documents and the status.
	Node string
	// Token is the bearer token. If it is empty, every request is refused.
	Token string
	// Committer makes changes.
	Committer Committer
	// Store holds the active configuration.
	Store Store
	// State holds a function for each part of the state dump, by the part's name.
	// Each function returns a value for json.Marshal.
	State map[string]func() any
	// Nodes returns the status of every known node.
	Nodes func() []NodeStatus
	// Metrics are served at /metrics.
	Metrics metrics.Registry
	// Now returns the wall-clock time, for dry runs.
	Now func() time.Time
	// CommitTimeout bounds how long a change waits for the platform. Zero means
	// DefaultCommitTimeout.
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

// route serves a path for one method and answers 405 to other methods.
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

// authorised passes on requests with the token and answers 401 to others. It
// compares hashes, so that the time depends neither on the token's length nor on
// its contents.
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

// writeJSON writes the response as JSON.
func (h *handler) writeJSON(w http.ResponseWriter, response any) {
	body, err := json.Marshal(response)
	if err != nil {
		h.fail(w, http.StatusInternalServerError, "encode answer", "%v", err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, '\n'))
}

// fail writes a problem document with the outcome "not-run".
func (h *handler) fail(w http.ResponseWriter, status int, step, format string, args ...any) {
	h.writeProblem(w, h.problem(status, request.NotRun, step, format, args...))
}
