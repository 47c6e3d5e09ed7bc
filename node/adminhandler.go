package node

import (
	"net/http"
	"strings"
	"time"

	"verbenatrestle/node/admin"
	"verbenatrestle/request"
)

// adminHandler returns the handler of the admin listener.
func (n *Node) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /v1/ready", n.authorised(http.HandlerFunc(n.serveReady)))
	mux.Handle("/", admin.New(admin.Options{
		Node:      n.settings.Name,
		Token:     n.settings.Secrets.AdminToken,
		Committer: n.config.committer,
		Store:     n.config.store,
		State:     n.stateParts(),
		Nodes:     n.versions.queryAll,
		Metrics:   n.registry,
		Now:       time.Now,
	}))
	return mux
}

// serveReady answers 200 if the node is ready, and 503 otherwise.
func (n *Node) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !n.ready() {
		newFailure(http.StatusServiceUnavailable, request.NotRun, "ready", n.settings.Name, "not ready", nil).Write(w)
		return
	}
	writeJSON(w, map[string]bool{"ready": true})
}

// authorised passes on requests with the admin token and answers 401 to others.
func (n *Node) authorised(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !secretsEqual(token, n.settings.Secrets.AdminToken) {
			newFailure(http.StatusUnauthorized, request.NotRun, "authorise", n.settings.Name, "wrong admin token", nil).Write(w)
			return
		}
		next.ServeHTTP(w, r)
	})
}
