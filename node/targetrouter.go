package node

import (
	"context"

	"verbenatrestle/request"
)

// targetRouter makes an attempt at a guard: in this process if it is this
// node's, over a hop otherwise.
type targetRouter struct {
	self  string
	local requestServer
	hops  *hopClient
}

// call implements guardCaller.
func (g *targetRouter) call(ctx context.Context, node string, req *bufferedRequest) result {
	if node == g.self {
		return g.local.serve(ctx, req)
	}
	return g.hops.send(ctx, node, request.HopGuard, req)
}
