package platform

import (
	"net/http"
	"strconv"
	"time"
)

// objectList is the answer to a list or a watch.
type objectList struct {
	Revision uint64   `json:"revision"`
	Objects  []object `json:"objects"`
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	asOf := s.readTime()
	present := s.store.get(r.PathValue("key"), asOf)
	if !present.exists() {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	w.Header().Set("ETag", formatVersion(present.version))
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(present.value)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	objects, revision := s.store.list(r.URL.Query().Get("prefix"), s.readTime())
	writeJSON(w, objectList{Revision: revision, Objects: objects})
}

// readTime sleeps as long as the platform is slow, and returns the time whose
// state a read shows.
func (s *Server) readTime() time.Time {
	faults := s.inForce()
	time.Sleep(faults.slow)
	return time.Now().Add(-faults.stale)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := condition(r)
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
	ifVersion, ok := condition(r)
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

// change makes a conditional write. It goes on when its caller has gone.
func (s *Server) change(w http.ResponseWriter, r *http.Request, next state, ifVersion uint64) {
	time.Sleep(s.inForce().slow)
	next.skipped = s.take(&s.faults.skipEvents)
	present, written := s.store.write(r.PathValue("key"), next, ifVersion)
	if written && s.take(&s.faults.loseAnswers) {
		s.meter.update(func(stats *Stats) { stats.DroppedResponses++ })
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("ETag", formatVersion(present.version))
	if written {
		w.WriteHeader(http.StatusOK)
		return
	}
	s.meter.update(func(stats *Stats) { stats.Conflicts++ })
	w.Header().Set("Content-Type", "application/octet-stream")
	w.WriteHeader(http.StatusPreconditionFailed)
	_, _ = w.Write(present.value)
}

// condition returns the version that a write replaces, zero for none.
func condition(r *http.Request) (uint64, bool) {
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
	time.Sleep(s.inForce().slow)
	wait := min(time.Duration(waitMs)*time.Millisecond, maxWait)
	s.await(w, r, query.Get("prefix"), after, wait)
}

// await answers a watch when there are changes or the wait is over.
func (s *Server) await(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	over := false
	for {
		objects, revision, changed := s.store.since(prefix, after)
		faults := s.inForce()
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
