package gateway

import (
	"testing"
	"time"
)

// encodeAdmission and decodeAdmission are inverse to each other, and malformed
// headers are refused.
func TestHopHeadersRoundTrip(t *testing.T) {
	now := time.Now()
	req := &targetRequest{}
	req.admission.Kind, req.admission.Priority, req.admission.Due = "k", 2, now.Add(300*time.Millisecond)
	req.admission.Retry, req.admission.NonIdempotent, req.admission.MayHaveRun, req.admission.CausedByRetry, req.admission.HasAlternatives = true, true, true, true, true
	admission, err := decodeAdmission(encodeAdmission(req, now), now)
	if err != nil || admission != req.admission {
		t.Fatalf("%+v, %v", admission, err)
	}
	for _, text := range []string{"", "k;1", "k;x;1;true;true;true;true;true", "k;1;1;yes;true;true;true;true", "k;1;1;true;true;true;true;maybe"} {
		if _, err := decodeAdmission(text, now); err == nil {
			t.Errorf("%q was decoded", text)
		}
	}
}
