package platform

import (
	"net/http"
	"strconv"
	"time"
)

// objectList is the response to a list or a watch.
type objectList struct {
	Revision uint64   `json:"revision"`
	Objects  []object `json:"objects"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	asOf := s.delayRead()
	found := s.store.get(r.PathValue("key"), asOf)
	if !found.exists() {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatVersion(found.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(found.value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, revision := s.store.list(r.URL.Query().Get("prefix"), s.delayRead())
	writeJSON(w, objectList{Revision: revision, Objects: objects})
}

// delayRead waits for the injected delay, and returns the time as of which a read
// is answered.
func (s *Server) delayRead() time.Time {
	faults := s.activeFaults()
	time.Sleep(faults.delay)
	return time.Now().Add(-faults.staleBy)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := expectedVersion(r)
	if !ok {
		http.Error(w, "If-Match or If-None-Match: * is required", http.StatusPreconditionRequired)
		return
	}
	value, err := readValue(w, r)
	if err != nil {
		http.Error(w, "read value: "+err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	s.change(w, r, state{value: value}, ifVersion)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := expectedVersion(r)
	if !ok || ifVersion == 0 {
		http.Error(w, "If-Match is required", http.StatusPreconditionRequired)
		return
	}
	if !s.store.get(r.PathValue("key"), time.Now()).exists() {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	s.change(w, r, state{deleted: true}, ifVersion)
}

// change makes a conditional write. It does so even if the caller disconnects.
func (s *Server) change(w http.ResponseWriter, r *http.Request, next state, ifVersion uint64) {
	time.Sleep(s.activeFaults().delay)
	next.hiddenFromWatches = s.consumeFault(&s.faults.skipEvents)
	current, written := s.store.write(r.PathValue("key"), next, ifVersion)
	if written && s.consumeFault(&s.faults.dropResponses) {
		s.meter.update(func(stats *Stats) { stats.DroppedResponses++ })
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", formatVersion(current.version))
	if written {
		w.WriteHeader(http.StatusOK)
		return
	}
	s.meter.update(func(stats *Stats) { stats.Conflicts++ })
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusPreconditionFailed)
	_, _ = w.Write(current.value)
}

// expectedVersion returns the version that a write is conditional on, zero if the
// object must not exist. It returns false if the request has no valid condition.
func expectedVersion(r *http.Request) (uint64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	version, err := parseVersion(r.Header.Get("If-Match"))
	return version, err == nil && version > 0
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, "parse after: "+err.Error(), http.StatusBadRequest)
		return
	}
	waitMs, err := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	if err != nil || waitMs < 0 {
		http.Error(w, "wait_ms is not a number of milliseconds", http.StatusBadRequest)
		return
	}
	s.meter.update(func(stats *Stats) { stats.WaitingWatches++ })
	defer s.meter.update(func(stats *Stats) { stats.WaitingWatches-- })
	time.Sleep(s.activeFaults().delay)
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	s.respondToWatch(w, r, query.Get("prefix"), after, wait)
}

// respondToWatch responds to a watch as soon as there are changes, the wait is
// over or the platform is down.
func (s *Server) respondToWatch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	over := false
	for {
		objects, revision, changed := s.store.since(prefix, after)
		faults := s.activeFaults()
		if faults.down {
			s.refuseDown(w)
			return
		}
		if !faults.stallWatches && (over || len(objects) > 0) {
			writeJSON(w, objectList{Revision: revision, Objects: objects})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}
