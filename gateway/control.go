package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/metricstext"
	"verbenatrestle/platform"
	"verbenatrestle/process/departure"
	"verbenatrestle/process/journal"
)

const (
	// maxReportBytes bounds the body of a status report.
	maxReportBytes = 64 << 10
	// controlTimeout bounds the reading of a request on the control listeners:
	// readiness, reports and metrics.
	controlTimeout = 2 * time.Second
	// controlIdleTimeout is how long connections to the control listeners are
	// kept idle.
	controlIdleTimeout = 30 * time.Second
)

// reportHandler returns the handler of status reports and deregistrations of
// the local target.
func (n *Node) reportHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+platform.PathReports+"{id}", n.handleReport)
	mux.HandleFunc("DELETE "+platform.PathReports+"{id}", n.handleDeregistration)
	return mux
}

// handleReport applies a status report. It answers 400 if the report is
// invalid or describes a target that can't be the one beside this node.
func (n *Node) handleReport(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Wrap(err, "read report"))
		return
	}
	report, err := platform.DecodeReport(r.PathValue("id"), body)
	if err == nil && len(report.Instance) > maxNameBytes {
		err = errors.Errorf("instance must not have more than %d bytes", maxNameBytes)
	}
	if err == nil && !n.knowsService(report.Service) {
		err = errors.Errorf("unknown service %q", report.Service)
	}
	if err == nil && report.Address != n.settings().Target {
		err = errors.Errorf("address %s is not the target address of this node", report.Address)
	}
	if err != nil {
		n.events.badMessage("report", r.RemoteAddr, err)
		writeError(w, http.StatusBadRequest, err)
		return
	}
	n.localTarget.applyReport(report)
	if report.Draining && n.localTarget.departures().Includes(report.Instance, report.StartedMillis) {
		n.acknowledgeDeparture(w, r, departure.Departure{Instance: report.Instance, StartedMillis: report.StartedMillis})
		return
	}
	writeEmpty(w)
}

// acknowledgeDeparture answers a target that leaves, as soon as its departure outlasts this
// process. It answers 503 if that can't be achieved now. The target gets no new requests
// in either case.
func (n *Node) acknowledgeDeparture(w http.ResponseWriter, r *http.Request, d departure.Departure) {
	if err := n.departures.keep(r.Context(), d); err != nil {
		writeError(w, http.StatusServiceUnavailable, err)
		return
	}
	writeEmpty(w)
}

// knowsService reports whether the service is configured or is the service of
// the node's settings.
func (n *Node) knowsService(name string) bool {
	_, known := n.config.service(name)
	return known || name == n.settings().Service
}

// handleDeregistration records that an instance of the target leaves for good.
// If the body does not state when the instance started, it is the one that runs now. The
// time of day does not tell which one that is: it may have jumped back since the start.
func (n *Node) handleDeregistration(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Wrap(err, "read deregistration"))
		return
	}
	id := r.PathValue("id")
	if len(id) > maxNameBytes {
		err := errors.Errorf("instance must not have more than %d bytes", maxNameBytes)
		n.events.badMessage("deregistration", r.RemoteAddr, err)
		writeError(w, http.StatusBadRequest, err)
		return
	}
	startedMillis, stated := platform.DecodeDeregistration(body)
	n.acknowledgeDeparture(w, r, n.localTarget.deregister(id, startedMillis, stated))
}

// writeEmpty answers with an empty JSON object.
func writeEmpty(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // a sender that misses the response sends again
}

// writeError answers with the error as JSON.
func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body, _ := json.Marshal(map[string]string{"error": err.Error()}) // strings can always be encoded
	_, _ = w.Write(body)
}

// readiness answers readiness checks of the platform and counts the "not ready"
// responses.
type readiness struct {
	node              *Node
	notReadyResponses atomic.Int64
}

// ServeHTTP implements http.Handler. The node is ready when it has a
// configuration and is not stopping.
func (h *readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReadiness {
		http.NotFound(w, r)
		return
	}
	if h.node.stopping.Load() || h.node.config.snapshot().routes == nil {
		h.notReadyResponses.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeEmpty(w)
}

// metricsHandler returns the handler that serves the metrics as text, and the state
// dump at StatePath.
func (n *Node) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(StatePath, n.stateHandler())
	mux.HandleFunc("/", func(w http.ResponseWriter, _ *http.Request) {
		var out bytes.Buffer
		metricstext.Write(&out, n.registry)
		w.Header().Set("Content-Type", metricstext.ContentType)
		_, _ = w.Write(out.Bytes()) // the collector scrapes again
	})
	return mux
}

// serveControl serves a control listener until the context ends.
func (n *Node) serveControl(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadTimeout: controlTimeout, IdleTimeout: controlIdleTimeout, ErrorLog: nil}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !strings.Contains(err.Error(), "closed") {
		n.events.log(journal.Change, "listener_failed", "address", listener.Addr().String(), "err", err)
	}
}
