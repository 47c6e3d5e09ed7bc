package admin

import (
	"bytes"
	"net/http"

	"verbenatrestle/internal/metricstext"
)

// metrics serves GET /metrics.
func (h *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	var out bytes.Buffer
	metricstext.Write(&out, h.options.Metrics)
	w.Header().Set("Content-Type", metricstext.ContentType)
	_, _ = w.Write(out.Bytes())
}
