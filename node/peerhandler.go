package node

import (
	"context"
	"encoding/json"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"verbenatrestle/connection/peerlink"
	"verbenatrestle/connection/wire"
	"verbenatrestle/internal/wait"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/ownership"
	"verbenatrestle/request/quarantine"
)

// membershipTick is the interval at which the timers of membership are checked.
const membershipTick = 50 * time.Millisecond

// peerHandler dispatches the messages of peers to membership, ownership,
// configuration and quarantine, and sends their messages.
type peerHandler struct {
	links      *peerlink.Links
	table      *membership.Table
	owners     *ownership.Runner
	gossip     *configGossip
	quarantine *quarantine.Table
	logger     log.Logger
	// document returns the encoded active configuration, if there is one.
	document func() (version uint64, data []byte, ok bool)
	// recordVersion records the configuration version that a peer announced.
	recordVersion func(version uint64)
	// updateConfig handles an encoded configuration that a peer sent.
	updateConfig func(from string, data []byte)
}

// HandleMessage implements peerlink.Handler.
func (p *peerHandler) HandleMessage(from string, message any) {
	now := time.Now()
	if membership.Handles(message) {
		p.send(p.table.Handle(now, from, message))
		return
	}
	if p.owners.Handle(from, message) {
		return
	}
	switch m := message.(type) {
	case *configAnnounce:
		p.recordVersion(m.Version)
		p.send(p.gossip.handleAnnounce(from, m.Version, now))
	case *configPull:
		p.handlePull(from, m)
	case *configDocument:
		p.updateConfig(from, m.Data)
	case *quarantineExport:
		p.quarantine.Merge(m.Message, now)
	default:
		_ = level.Warn(p.logger).Log("msg", "message without handler", "step", "handle message", "peer", from)
	}
}

// handlePull sends the active configuration to a peer that has an older one.
func (p *peerHandler) handlePull(from string, m *configPull) {
	version, data, ok := p.document()
	if !ok || version <= m.Have {
		return
	}
	p.send([]wire.Envelope{{To: from, Message: &configDocument{Version: version, Data: data}}})
}

// LinkUp implements peerlink.Handler.
func (p *peerHandler) LinkUp(peer string) {
	p.send(p.table.LinkUp(time.Now(), peer))
	p.send(p.gossip.announcementTo(peer))
	if known := p.quarantine.Export(); !known.Empty() {
		p.send([]wire.Envelope{{To: peer, Message: &quarantineExport{Message: known}}})
	}
}

// LinkDown implements peerlink.Handler.
func (p *peerHandler) LinkDown(peer string, err error) {
	if err == nil {
		return
	}
	_ = level.Debug(p.logger).Log("msg", "link down", "step", "link", "peer", peer, "err", err)
	p.send(p.table.LinkDown(time.Now(), peer))
}

// send queues messages on the links. A link counts the messages that it drops,
// and all protocols repeat lost messages, so errors are ignored.
func (p *peerHandler) send(envelopes []wire.Envelope) {
	for _, e := range envelopes {
		_ = p.links.Send(e.To, e.Message)
	}
}

// announceConfig returns the announcements of a configuration version to all
// neighbours.
func (p *peerHandler) announceConfig(version uint64) []wire.Envelope {
	neighbours := p.table.Neighbours()
	out := make([]wire.Envelope, 0, len(neighbours))
	for _, n := range neighbours {
		out = append(out, wire.Envelope{To: n, Message: &configAnnounce{Version: version}})
	}
	return out
}

// floodQuarantine sends crashes and completions to all nodes.
func (p *peerHandler) floodQuarantine(m quarantine.Message) {
	payload, err := json.Marshal(m)
	if err != nil {
		_ = level.Error(p.logger).Log("msg", "encode quarantine", "err", err)
		return
	}
	p.send(p.table.Flood(time.Now(), membership.TopicQuarantine, payload))
}

// mergeQuarantine merges crashes and completions that another node flooded.
func (p *peerHandler) mergeQuarantine(now time.Time, r membership.Rumour) {
	var m quarantine.Message
	if err := json.Unmarshal(r.Payload, &m); err != nil {
		_ = level.Warn(p.logger).Log("msg", "decode quarantine", "step", "handle rumour", "peer", r.Origin, "err", err)
		return
	}
	p.quarantine.Merge(m, now)
}

// run drives the timers of membership until the context ends.
func (p *peerHandler) run(ctx context.Context) {
	wait.Every(ctx, membershipTick, func(now time.Time) { p.send(p.table.Tick(now)) })
}
