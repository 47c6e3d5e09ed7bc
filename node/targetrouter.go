package node

import (
	"context"

	"verbenatrestle/request"
)

// targetRouter sends an attempt to the target of a node: by a call within the
// process for the local target, otherwise over a hop.
type targetRouter struct {
	self  string
	local requestServer
	hops  *hopClient
}

// call implements targetCaller.
func (r *targetRouter) call(ctx context.Context, node string, req *bufferedRequest) result {
	if node == r.self {
		return r.local.serve(ctx, req)
	}
	return r.hops.send(ctx, node, request.HopGuard, req)
}
