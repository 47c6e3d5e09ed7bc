package node

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

const (
	// maxAnnounceBytes bounds the body of an announcement or drain request.
	maxAnnounceBytes = 16 << 10
	// maxDrainWait is the longest time that a drain request may wait.
	maxDrainWait = 10 * time.Minute
	// drainPoll is the interval at which a drain request checks whether the target
	// is idle.
	drainPoll = 5 * time.Millisecond
	// maxConnections bounds the slots and connections that a target may announce.
	maxConnections = 10_000
)

// announcement is the body of an announcement of a target.
type announcement struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Address      string `json:"address"`
	Instance     string `json:"instance"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ColdLimit    int    `json:"cold_limit"`
	// StartedMillis is the start of the process, in Unix milliseconds. It is optional.
	StartedMillis int64 `json:"started_ms"`
}

// check returns an error that names the first invalid field, or nil.
func (a *announcement) check() error {
	if _, err := version.ParseServiceID(string(a.service())); err != nil {
		return errors.Wrap(err, "organisation and service")
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return errors.Wrap(err, "address")
	}
	if a.Instance == "" {
		return errors.New("instance: must be set")
	}
	if a.StartedMillis < 0 {
		return errors.Errorf("started_ms: %d is negative", a.StartedMillis)
	}
	if a.Slots < 1 || a.Slots > maxConnections {
		return errors.Errorf("slots: %d is not from 1 to %d", a.Slots, maxConnections)
	}
	if a.Connections < 1 || a.Connections > maxConnections {
		return errors.Errorf("connections: %d is not from 1 to %d", a.Connections, maxConnections)
	}
	if a.ColdLimit < 1 || a.ColdLimit > a.Slots {
		return errors.Errorf("cold_limit: %d is not from 1 to slots", a.ColdLimit)
	}
	return nil
}

func (a *announcement) service() version.ServiceID {
	return version.NewServiceID(a.Organisation, a.Service)
}

// announceServer serves the requests of the target beside the node.
type announceServer struct {
	local *localTarget
}

// handler returns the HTTP handler of the announce listener.
func (s *announceServer) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", s.announce)
	mux.HandleFunc("POST /v1/drain", s.drain)
	return mux
}

func (s *announceServer) announce(w http.ResponseWriter, r *http.Request) {
	var a announcement
	if !decodeJSON(w, r, &a) {
		return
	}
	if err := a.check(); err != nil {
		refuseJSON(w, "check announcement", err)
		return
	}
	state := s.local.announce(a)
	writeJSON(w, map[string]string{"state": state.String()})
}

// drain stops admitting requests to the target. It answers 200 once no request is
// in flight, or 409 if that takes longer than ?wait= seconds.
func (s *announceServer) drain(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Instance string `json:"instance"`
	}
	if !decodeJSON(w, r, &body) {
		return
	}
	s.local.drain(body.Instance)
	seconds, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	wait := min(time.Duration(max(seconds, 0))*time.Second, maxDrainWait)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	if !s.local.waitIdle(ctx) {
		f := newFailure(http.StatusConflict, request.NotRun, "drain", s.local.self, "requests are in flight", nil)
		f.Write(w)
		return
	}
	writeJSON(w, map[string]string{"state": "idle"})
}

// decodeJSON decodes the body into v. On an error it answers 400 and returns
// false.
func decodeJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnounceBytes))
	if err := decoder.Decode(v); err != nil {
		refuseJSON(w, "parse body", err)
		return false
	}
	return true
}

func refuseJSON(w http.ResponseWriter, step string, err error) {
	newFailure(http.StatusBadRequest, request.NotRun, step, "", "bad request", err).Write(w)
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
