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
	// hopVersion is the value of request.HeaderHop that requests the active
	// configuration version of a node.
	hopVersion = "version"
	// versionTimeout is the timeout of a query of all nodes.
	versionTimeout = 2 * time.Second
	// maxVersionQueries bounds the number of nodes that are queried at the same time.
	maxVersionQueries = 32
)

// versionResponse is the response to a query of a node's active configuration
// version. DelayMS is the time from the acceptance of the version to its activation
// at the node, in milliseconds, or -1 if the node has no configuration.
type versionResponse struct {
	Version uint64 `json:"version"`
	DelayMS int64  `json:"delay_ms"`
}

// versions queries the active configuration version of all nodes when an operator
// requests the status, and serves such queries of other nodes. Without such a
// request it sends nothing.
type versions struct {
	self  string
	table *membership.Table
	store *configstore.Store
	hops  *hopClient
}

// local returns the active version of this node.
func (v *versions) local() versionResponse {
	active := v.store.Active()
	if active == nil {
		return versionResponse{DelayMS: -1}
	}
	return versionResponse{Version: active.Snapshot.Version(), DelayMS: active.PropagationDelay().Milliseconds()}
}

// ServeHTTP serves the query of another node.
func (v *versions) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, v.local())
}

// queryAll returns the status of all known nodes, in the order of their names.
func (v *versions) queryAll() []admin.NodeStatus {
	members := v.table.Members()
	out := make([]admin.NodeStatus, len(members))
	ctx, cancel := context.WithTimeout(context.Background(), versionTimeout)
	defer cancel()
	var group errgroup.Group
	group.SetLimit(maxVersionQueries)
	for i, m := range members {
		group.Go(func() error {
			out[i] = v.statusOf(ctx, m)
			return nil
		})
	}
	_ = group.Wait()
	return out
}

// statusOf returns the status of one node. A node that doesn't respond has the
// delay -1, and its state says so.
func (v *versions) statusOf(ctx context.Context, m membership.Member) admin.NodeStatus {
	status := admin.NodeStatus{Node: m.Node, DataCentre: m.DataCentre, State: m.Status.String(), DelayMS: -1}
	response := v.local()
	if m.Node != v.self {
		var err error
		if response, err = v.queryNode(ctx, m); err != nil {
			status.State = "no answer, " + status.State
			return status
		}
	}
	status.Version = response.Version
	status.DelayMS = response.DelayMS
	return status
}

func (v *versions) queryNode(ctx context.Context, m membership.Member) (versionResponse, error) {
	var response versionResponse
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.HopAddress+"/", nil)
	if err != nil {
		return response, errors.Wrapf(err, "query version of %s", m.Node)
	}
	r.Header.Set(headerHopKey, v.hops.peerKey)
	r.Header.Set(request.HeaderHop, hopVersion)
	resp, err := v.hops.transport.RoundTrip(r)
	if err != nil {
		return response, errors.Wrapf(err, "query version of %s", m.Node)
	}
	defer resp.Body.Close()
	err = json.NewDecoder(resp.Body).Decode(&response)
	return response, errors.Wrapf(err, "read version of %s", m.Node)
}
