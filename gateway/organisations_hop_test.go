package gateway

import (
	"net/http"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// A node whose configuration is older than that of the target's node must not bring back a key
// that was withdrawn, nor be told that the request has run.
func TestOutdatedIngressCannotUseWithdrawnKey(t *testing.T) {
	f, recorder := organisationFleet(t, acme, beta)
	a, u := f.nodes[0], f.nodes[2]
	withdrawn, _, err := platform.HashKeys(configWithOrganisations(9, []organisation{acme}, "s", "u"))
	if err != nil {
		t.Fatal(err)
	}
	if err := u.config.update(withdrawn, "test"); err != nil {
		t.Fatal(err)
	}
	got := a.callAtSameConfig(t, "/u/1", "id-old", "Key", "key-beta-1")
	if got.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", got.status)
	}
	if recorder.check(t, "id-old", "") != 0 {
		t.Error("the request reached the target")
	}
}

// callAtSameConfig is like callWith, while the node can't activate another configuration.
func (n *testNode) callAtSameConfig(t *testing.T, path, id string, pairs ...string) reply {
	t.Helper()
	n.config.mu.Lock()
	defer n.config.mu.Unlock()
	return n.callWith(t, http.MethodGet, path, id, pairs...)
}

// Two nodes have the configurations before and after organisations appear or disappear. A
// request that both allow must be served, and the target must get the organisation of the newer.
func TestOrganisationsAppearAndDisappear(t *testing.T) {
	without, with := standin.ConfigForServices(9, "s", "u"), configWithOrganisations(9, []organisation{acme}, "s", "u")
	hashed, _, err := platform.HashKeys(with)
	if err != nil {
		t.Fatal(err)
	}
	f, recorder := organisationFleet(t, acme)
	if err := f.nodes[0].config.update(without, "test"); err != nil {
		t.Fatal(err)
	}
	f.nodes[2].config.mu.Lock() // keeps the target's node at version 1
	got := f.nodes[0].callWith(t, http.MethodGet, "/u/1", "gone", "Key", "key-acme-1")
	f.nodes[2].config.mu.Unlock()
	if got.status != http.StatusOK || recorder.check(t, "gone", "") != 1 {
		t.Errorf("organisations disappear: status %d", got.status)
	}

	f, recorder = organisationFleet(t)
	f.store.Put("config", "main", standin.ConfigForServices(2, "s", "u"))
	f.settled(2)
	if err := f.nodes[2].config.update(hashed, "test"); err != nil {
		t.Fatal(err)
	}
	got = f.nodes[0].callAtSameConfig(t, "/u/1", "new", "Key", "key-acme-1")
	if got.status != http.StatusOK || recorder.check(t, "new", "acme") != 1 {
		t.Errorf("organisations appear: status %d", got.status)
	}
}

// Nodes of an earlier build pass on the caller's key, and configurations with all keys. A node
// must check that key, and must not keep or pass on any.
func TestNodesOfAnEarlierBuildPassKeysOn(t *testing.T) {
	f, recorder := organisationFleet(t, acme)
	u := f.nodes[2]
	document, err := newConfigDocument(configWithOrganisations(9, []organisation{acme}, "s", "u"))
	if err != nil {
		t.Fatal(err)
	}
	if err := u.config.updateDocument(document, "n1"); err != nil {
		t.Fatal(err)
	}
	f.settled(9)
	f.checkNoKeys(t)
	for id, c := range map[string]struct {
		key    string
		status int
	}{"known": {"key-acme-1", http.StatusOK}, "unknown": {"key-of-nobody", http.StatusServiceUnavailable}} {
		hop := *u
		hop.settings.Listen.Callers = u.settings.Listen.Hop
		got := hop.callWith(t, http.MethodGet, "/u/1", id, "Key", c.key, "Vt-Hop", "run", "Vt-Service", "u",
			"Vt-Order", "r-u;1;900;false;false;false;false;false", "Request-Timeout-Ms", "1000", "Caller-Service", "s")
		if got.status != c.status {
			t.Errorf("%s key: status %d, want %d", id, got.status, c.status)
		}
		if ran := recorder.check(t, id, "acme"); (ran > 0) != (c.status == http.StatusOK) {
			t.Errorf("%s key: %d runs", id, ran)
		}
	}
}

// A node that has just started and has no configuration ran a request whose key nobody had
// checked, if a node of an earlier build sent it. What a node of this build has checked, it runs.
func TestNodeWithoutConfigurationRunsOnlyCheckedRequests(t *testing.T) {
	f := newTestFleet(t)
	n := f.add(testTarget{service: "u", slots: 8, work: time.Millisecond})
	eventually(t, "the node has a target", func() bool { return n.localTarget.state(time.Now()).Accepting })
	recorder := &headerRecorder{headers: map[string][]http.Header{}}
	recorder.record(n.target, "")
	hop := *n
	hop.settings.Listen.Callers = n.settings.Listen.Hop
	for id, c := range map[string]struct {
		headers      []string
		organisation string
		status       int
	}{
		"unchecked": {[]string{"Key", "key-of-nobody"}, "", http.StatusServiceUnavailable},
		"checked":   {[]string{headerOrganisation, encodeCaller(version.Caller{Config: 1, Organisation: "acme", Key: version.NewKeyDigest("key-acme-1"), HasKey: true})}, "acme", http.StatusOK},
	} {
		got := hop.callWith(t, http.MethodGet, "/u/1", id, append(c.headers, "Vt-Hop", "run", "Vt-Service", "u",
			"Vt-Order", "r-u;1;900;false;false;false;false;false", "Request-Timeout-Ms", "1000", "Caller-Service", "s")...)
		if got.status != c.status || got.status != http.StatusOK && got.header.Get(request.HeaderOutcome) != string(request.NotRun) {
			t.Errorf("%s: status %d, want %d: %v", id, got.status, c.status, got.header)
		}
		if ran := recorder.check(t, id, c.organisation); (ran > 0) != (c.status == http.StatusOK) {
			t.Errorf("%s: %d runs", id, ran)
		}
	}
}
