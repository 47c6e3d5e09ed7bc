package node

import (
	"context"

	"verbenatrestle/request"
)

// guardRouter makes an attempt at a guard: in this process if it is this
// node's, over a hop otherwise.
type guardRouter struct {
	self  string
	local orderServer
	hops  *hopClient
}

// call implements guardCaller.
func (g *guardRouter) call(ctx context.Context, node string, o *order) result {
	if node == g.self {
		return g.local.serve(ctx, o)
	}
	return g.hops.send(ctx, node, request.HopGuard, o)
}
