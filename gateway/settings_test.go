package gateway

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"verbenatrestle/platform/standin"
	"verbenatrestle/process/gate"
)

// Each invalid field has to be refused with an error that names it.
func TestSettings(t *testing.T) {
	if _, err := ParseSettings([]byte(settingsText)); err != nil {
		t.Fatal(err)
	}
	for _, change := range []struct{ old, new, field string }{
		{"name: a", "nam: a", "nam"},
		{"name: a\n", "", "name"},
		{"10.0.0.1:1\n", "nowhere\n", "target"},
		{`"10.0.0.1:6"`, `""`, "listen.peers"},
		{"repeat_ratio: 0.2", "repeat_ratio: 2", "repeat_ratio"},
		{"repeat_slack: 62", "repeat_slack: -1", "repeat_slack"},
		{"repeat_window_s: 10", "repeat_window_s: 0", "repeat_window_s"},
		{"cold_factor: 1.5", "cold_factor: 0", "cold_factor"},
		{"stop_s: 6", "stop_s: 0", "stop_s"},
		{"stop_s: 6", "stop_s: 6, memory_mb: -1", "memory_mb"},
		{"stop_s: 6", "stop_s: 6, config_apply_s: -1", "config_apply_s"},
		{"name: a\n", "name: a\nadvertise_hop: nowhere\n", "advertise_hop"},
		{"name: a\n", "name: " + strings.Repeat("a", maxNameBytes+1) + "\n", "name"},
		{"data_centres: [", "data_centres: [" + strings.Repeat("x", maxDataCentreNameBytes) + ", ", "data_centres"},
	} {
		_, err := ParseSettings([]byte(strings.Replace(settingsText, change.old, change.new, 1)))
		if err == nil || !strings.Contains(err.Error(), change.field) {
			t.Errorf("%s: %v", change.new, err)
		}
	}
}

// Parts of the agreement with the platform that the node does not serve were ignored without a
// line in the log.
func TestUnsupportedSettingsAreNamed(t *testing.T) {
	settings, err := ParseSettings([]byte(settingsText + "contracts: [base,tenants,quota,homes]\nkeys_fail_closed: true\n"))
	if err != nil {
		t.Fatal(err)
	}
	if got := settings.unsupported(); !slices.Equal(got, []string{"homes", "keys_fail_closed"}) {
		t.Fatalf("%v", got)
	}
	f := newTestFleet(t)
	f.adjust = func(s *Settings) { s.Contracts = settings.Contracts }
	n := f.addNode(quick)
	eventually(t, "the start names what is not supported", func() bool {
		return strings.Contains(n.log.String(), `"unsupported":["homes"]`)
	})
}

// The settings file changes with and without a signal. Valid changes are
// applied, and changes that need a restart or can't be parsed are refused.
func TestSettingsFileThatChanges(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(1, "s"))
	a := f.add(quick)
	f.settled(1)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	text := func(ratio float64, callers string) string {
		s := a.settings
		return fmt.Sprintf("name: %s\ndata_centre: %s\ndata_centres: [z1, z2]\nservice: %s\ntarget: %s\nstore: %s\n"+
			"listen: {callers: %q, hop: %q, readiness: %q, reports: %q, peers: %q, metrics: %q}\n"+
			"limits: {repeat_ratio: %v, repeat_slack: 60, repeat_window_s: 10, cold_factor: 1.5, stop_s: 3}\n",
			s.Name, s.DataCentre, s.Service, s.Target, s.Store, callers, s.Listen.Hop, s.Listen.Readiness,
			s.Listen.Reports, s.Listen.Peers, s.Listen.Metrics, ratio)
	}
	write := func(content string) {
		if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text(0.2, a.settings.Listen.Callers))
	signals := make(chan os.Signal, 1)
	go a.WatchSettings(f.ctx, path, signals)
	time.Sleep(100 * time.Millisecond)
	write(text(0.3, a.settings.Listen.Callers))
	signals <- os.Interrupt
	eventually(t, "the settings are reloaded after the signal", func() bool { return a.Node.settings().Limits.RepeatRatio == 0.3 })
	write(text(0.4, a.settings.Listen.Callers))
	eventually(t, "the settings are reloaded without a signal", func() bool { return a.Node.settings().Limits.RepeatRatio == 0.4 })
	write(text(0.5, "127.0.0.1:1"))
	eventually(t, "a change that requires a restart is refused", func() bool { return strings.Count(a.log.String(), "reload_refused") >= 1 })
	write("nonsense")
	eventually(t, "invalid YAML is refused", func() bool { return strings.Count(a.log.String(), "reload_refused") >= 2 })
	if ratio := a.Node.settings().Limits.RepeatRatio; ratio != 0.4 {
		t.Fatalf("ratio %v", ratio)
	}
	if got := a.call(t, http.MethodGet, "/s/1", "id", ""); got.status != http.StatusOK {
		t.Fatalf("%d", got.status)
	}
}

// After a restart an earlier process may have used the slack of the retry budget within its
// window. The first processes of a system have no predecessor.
func TestSlackOfTheRetryBudgetComesAfterARestart(t *testing.T) {
	settings := Settings{Limits: Limits{RepeatWindowSeconds: 10}}
	if got := settings.slackDelay(); got != 10*time.Second {
		t.Errorf("after a restart: %v", got)
	}
	settings.FirstStart = true
	if got := settings.slackDelay(); got != 0 {
		t.Errorf("at the first start: %v", got)
	}
}

// A node that was restarted took its target for the only one of the service until it knew its
// peers, and used the whole slack of the retry budget.
func TestRestartedNodeWaitsForItsPeersBeforeItUsesSlack(t *testing.T) {
	for _, first := range []bool{false, true} {
		f := newTestFleet(t)
		f.adjust = func(s *Settings) { s.FirstStart = first }
		n := f.add(quick)
		eventually(t, "the target is known", func() bool { return n.localTarget.state(time.Now()).Accepting })
		time.Sleep(2 * sweepInterval)
		n.localTarget.confirmOneProcessBefore()
		now := time.Now()
		n.localTarget.mu.Lock()
		decision := n.localTarget.gate.Admit(gate.Request{ID: "r", Kind: "k", Retry: true, Due: now.Add(time.Second), Deadline: now.Add(time.Second)}, now)
		n.localTarget.mu.Unlock()
		if allowed := decision.Refused != gate.RefusedRetryBudget; allowed != first {
			t.Errorf("first start %v: %+v", first, decision)
		}
	}
}
