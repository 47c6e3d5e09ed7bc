package node

import (
	"context"

	"verbenatrestle/request"
)

// targetRouter makes an attempt at a guard: in this process if it is this
// node's, over a hop otherwise.
type targetRouter struct {
	self  string
	local orderServer
	hops  *hopClient
}

// call implements guardCaller.
func (g *targetRouter) call(ctx context.Context, node string, o *order) result {
	if node == g.self {
		return g.local.serve(ctx, o)
	}
	return g.hops.send(ctx, node, request.HopGuard, o)
}
