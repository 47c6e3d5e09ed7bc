package node

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"verbenatrestle/node/admin"
	"verbenatrestle/process/configstore"
	"verbenatrestle/process/membership"
	"verbenatrestle/request"
)

const (
	// hopVersion is a value of request.HeaderHop: the node is asked which
	// configuration version it has in force.
	hopVersion = "version"
	// versionTimeout bounds the question to all nodes.
	versionTimeout = 2 * time.Second
	// versionQuestions bounds the questions that run at once.
	versionQuestions = 32
)

// versionAnswer tells which configuration version a node has in force.
type versionAnswer struct {
	Version uint64 `json:"version"`
	DelayMS int64  `json:"delay_ms"`
}

// versions asks all nodes for their configuration version when an operator
// wants to know. Nothing is sent otherwise.
type versions struct {
	self  string
	table *membership.Table
	store *configstore.Store
	hops  *hopClient
}

// own returns this node's answer.
func (v *versions) own() versionAnswer {
	f := v.store.Active()
	if f == nil {
		return versionAnswer{DelayMS: -1}
	}
	return versionAnswer{Version: f.Snapshot.Version(), DelayMS: f.PropagationDelay().Milliseconds()}
}

// ServeHTTP answers the question of another node.
func (v *versions) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, v.own())
}

// ask returns the answers of all nodes that are known, by name.
func (v *versions) ask() []admin.NodeStatus {
	members := v.table.Members()
	out := make([]admin.NodeStatus, len(members))
	ctx, cancel := context.WithTimeout(context.Background(), versionTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(versionQuestions)
	for i, m := range members {
		group.Go(func() error {
			out[i] = v.statusOf(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// statusOf returns what is known of one node. A node that does not answer has
// the delay -1.
func (v *versions) statusOf(ctx context.Context, m membership.Member) admin.NodeStatus {
	status := admin.NodeStatus{Node: m.Node, DataCentre: m.DataCentre, State: m.Status.String(), DelayMS: -1}
	answer := v.own()
	if m.Node != v.self {
		var err error
		if answer, err = v.askNode(ctx, m); err != nil {
			status.State = "no answer, " + status.State
			return status
		}
	}
	status.Version = answer.Version
	status.DelayMS = answer.DelayMS
	return status
}

func (v *versions) askNode(ctx context.Context, m membership.Member) (versionAnswer, error) {
	var answer versionAnswer
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.HopAddress+"/", nil)
	if err != nil {
		return answer, errors.Wrapf(err, "ask %s for its version", m.Node)
	}
	r.Header.Set(headerHopKey, v.hops.peerKey)
	r.Header.Set(request.HeaderHop, hopVersion)
	resp, err := v.hops.transport.RoundTrip(r)
	if err != nil {
		return answer, errors.Wrapf(err, "ask %s for its version", m.Node)
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&answer)
	return answer, errors.Wrapf(err, "read version of %s", m.Node)
}
