package admin

import (
	"net/http"
	"strconv"

	"verbenatrestle/version"
)

// document returns the document of the active configuration, or an empty one.
func (h *handler) document() version.Document {
	if active := h.options.Store.Active(); active != nil {
		return active.Document
	}
	return version.Document{}
}

// configuration serves GET /v1/configuration. The history is left out.
func (h *handler) configuration(w http.ResponseWriter, _ *http.Request) {
	doc := h.document()
	doc.History = nil
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(doc.Version, 10)))
	h.writeJSON(w, doc)
}

// history serves GET /v1/history.
func (h *handler) history(w http.ResponseWriter, _ *http.Request) {
	entries := h.document().History
	if entries == nil {
		entries = []version.HistoryEntry{}
	}
	h.writeJSON(w, entries)
}

// state serves GET /v1/state.
func (h *handler) state(w http.ResponseWriter, r *http.Request) {
	part := r.URL.Query().Get("part")
	if part != "" && h.options.State[part] == nil {
		h.fail(w, http.StatusNotFound, "dump state", "there is no part %q", part)
		return
	}
	dump := make(map[string]any, len(h.options.State))
	for name, provide := range h.options.State {
		if part == "" || part == name {
			dump[name] = provide()
		}
	}
	h.writeJSON(w, dump)
}

// status serves GET /v1/status.
func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	response := StatusResponse{Node: h.options.Node, Nodes: h.options.Nodes()}
	if active := h.options.Store.Active(); active != nil {
		response.Version = active.Snapshot.Version()
		response.AcceptedAt = active.Snapshot.AcceptedAt()
		response.DelayMS = active.PropagationDelay().Milliseconds()
	}
	h.writeJSON(w, response)
}
