package gate

import "testing"

// After the address of a target has gone to a target of another service, requests that waited
// for the old one were admitted to the new one, which ran them although no route leads there.
func TestWaitingRequestIsNotAdmittedToAnotherService(t *testing.T) {
	for name, report := range map[string]Report{
		"another process":  {Instance: "i-2", Service: "other", Address: "10.0.0.1:1", Slots: 4, Sequence: 1, StartedMillis: 3000},
		"the same process": {Instance: "i-1", Service: "other", Address: "10.0.0.1:1", Slots: 4, Sequence: 2, StartedMillis: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			g := newTestGate(1)
			g.Admit(newRequest("runs", start), start)
			waits := newRequest("waits", start)
			waits.NonIdempotent = true
			waiting := g.Admit(waits, start).Waiter
			if waiting == nil {
				t.Fatal("the second request does not wait")
			}
			if !g.ApplyReport(report, start) {
				t.Fatal("the report is not applied")
			}
			select {
			case refused := <-waiting.Result:
				if refused != RefusedOtherService {
					t.Fatalf("refused %q, want %q", refused, RefusedOtherService)
				}
			default:
				t.Fatal("the request still waits")
			}
			if !g.Fence(waits.ID, start) {
				t.Fatal("the request counts as sent")
			}
		})
	}
}
