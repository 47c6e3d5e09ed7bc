package node

import (
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"

	"verbenatrestle/connection/load"
	"verbenatrestle/process/admission"
	"verbenatrestle/request/quarantine"
	"verbenatrestle/version"
)

// newLocalTarget returns a local target that has not announced itself, and its
// configuration with limits of the service org/s.
func newLocalTarget(t *testing.T, limits version.TargetLimits) (*localTarget, *version.Snapshot) {
	controller, err := admission.New(admission.DefaultSettings, newRandom())
	if err != nil {
		t.Fatal(err)
	}
	proxy := &targetProxy{admission: controller, quarantine: quarantine.New(quarantine.DefaultSettings), flood: func(quarantine.Message) {}}
	local := &localTarget{proxy: proxy, logger: log.NewNopLogger(), onChange: func(announcement, load.State) {}, checkTimeout: time.Minute}
	return local, limitedSnapshot(limits)
}

func limitedSnapshot(limits version.TargetLimits) *version.Snapshot {
	service := version.Service{ID: "org/s", PathPrefix: "/s/", TargetLimits: limits}
	return version.NewSnapshot(1, time.Now(), []*version.Organisation{{Name: "org", Services: []version.Service{service}}}, nil, nil)
}

var bigTarget = announcement{Organisation: "org", Service: "s", Address: "127.0.0.1:1", Instance: "i1", Slots: 20, Connections: 200, ColdLimit: 8}

// Guards against limits of a service's targets that have no effect if the target announces
// itself after the configuration came, because they were looked up only when it came.
func TestTargetLimitsApplyToLaterAnnouncement(t *testing.T) {
	local, snapshot := newLocalTarget(t, version.TargetLimits{Slots: 5, Connections: 30, ColdLimit: 2})
	local.setConfig(snapshot)
	local.announce(bigTarget)
	got := local.withinLimits(bigTarget)
	if got.Slots != 5 || got.Connections != 30 || got.ColdLimit != 2 {
		t.Errorf("got %+v, want the configured 5 slots, 30 connections and cold limit 2", got)
	}
	if open := local.proxy.client.Load().transport.MaxConnsPerHost; open != 30 {
		t.Errorf("the target may get %d connections, want the configured 30", open)
	}
}

// Guards against a limit of connections that has no effect if it is configured after the
// target announced itself, because only a changed announcement replaced the connections.
func TestConnectionLimitAppliesToKnownTarget(t *testing.T) {
	local, snapshot := newLocalTarget(t, version.TargetLimits{Connections: 30})
	local.announce(bigTarget)
	local.setConfig(snapshot)
	local.announce(bigTarget)
	client := local.proxy.client.Load()
	if client.transport.MaxConnsPerHost != 30 {
		t.Errorf("the target may get %d connections, want the configured 30", client.transport.MaxConnsPerHost)
	}
	local.announce(bigTarget)
	if local.proxy.client.Load() != client {
		t.Error("the same announcement replaced the connections")
	}
}

// Guards against balancing by the slots that a target announces where its service's limits
// allow fewer: the other nodes got the announced values.
func TestPublishedTargetIsWithinLimits(t *testing.T) {
	local, snapshot := newLocalTarget(t, version.TargetLimits{})
	var published []announcement
	local.onChange = func(a announcement, _ load.State) { published = append(published, a) }
	local.setConfig(snapshot)
	local.announce(bigTarget)
	local.setConfig(limitedSnapshot(version.TargetLimits{Slots: 5, ColdLimit: 2}))
	local.announce(bigTarget)
	local.announce(bigTarget)
	limited := bigTarget
	limited.Slots, limited.ColdLimit = 5, 2
	if want := []announcement{bigTarget, limited}; !slices.Equal(published, want) {
		t.Errorf("published %+v, want %+v", published, want)
	}
}
