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
	"verbenatrestle/process/journal"
)

const (
	// maxReportBytes bounds a target's report.
	maxReportBytes = 64 << 10
	// controlTimeout bounds the reading of a call to the small listeners.
	controlTimeout = 2 * time.Second
	// controlIdleTimeout is how long connections to the small listeners are kept idle.
	controlIdleTimeout = 30 * time.Second
)

// reportHandler serves the target's reports.
func (n *Node) reportHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT "+platform.PathReports+"{id}", n.handleReport)
	mux.HandleFunc("DELETE "+platform.PathReports+"{id}", n.handleDeregistration)
	return mux
}

func (n *Node) handleReport(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Wrap(err, "read report"))
		return
	}
	report, err := platform.DecodeReport(r.PathValue("id"), body)
	if err == nil && !n.knowsService(report.Service) {
		err = errors.Errorf("service %q is not known", report.Service)
	}
	if err == nil && report.Address != n.settings().Target {
		err = errors.Errorf("address %s is not the one beside this node", report.Address)
	}
	if err != nil {
		n.events.badMessage("report", r.RemoteAddr, err)
		writeError(w, http.StatusBadRequest, err)
		return
	}
	n.localTarget.applyReport(report)
	writeEmpty(w)
}

// knowsService reports whether a target of the service may run beside the node.
func (n *Node) knowsService(name string) bool {
	_, known := n.config.service(name)
	return known || name == n.settings().Service
}

func (n *Node) handleDeregistration(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxReportBytes))
	if err != nil {
		writeError(w, http.StatusBadRequest, errors.Wrap(err, "read leave"))
		return
	}
	startedMillis, ok := platform.DecodeDeregistration(body)
	if !ok {
		startedMillis = time.Now().UnixMilli()
	}
	n.localTarget.deregister(r.PathValue("id"), startedMillis)
	writeEmpty(w)
}

func writeEmpty(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = io.WriteString(w, "{}") // the sender reports again if it misses this
}

func writeError(w http.ResponseWriter, status int, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	body, _ := json.Marshal(map[string]string{"error": err.Error()}) // two strings always encode
	_, _ = w.Write(body)
}

// readiness answers whether callers are to be sent here, and counts how often
// it said no.
type readiness struct {
	node            *Node
	notReadyAnswers atomic.Int64
}

// ServeHTTP implements http.Handler.
func (h *readiness) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReadiness {
		http.NotFound(w, r)
		return
	}
	if h.node.stopping.Load() || h.node.config.snapshot().routes == nil {
		h.notReadyAnswers.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	writeEmpty(w)
}

// metricsHandler serves the registry as text.
func (n *Node) metricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		var out bytes.Buffer
		metricstext.Write(&out, n.registry)
		w.Header().Set("Content-Type", metricstext.ContentType)
		_, _ = w.Write(out.Bytes()) // the collector asks again
	})
}

// serveControl serves one of the small listeners until the context ends.
func (n *Node) serveControl(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadTimeout: controlTimeout, IdleTimeout: controlIdleTimeout, ErrorLog: nil}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	err := server.Serve(listener)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !strings.Contains(err.Error(), "closed") {
		n.events.log(journal.Change, "listener_failed", "address", listener.Addr().String(), "err", err)
	}
}
