// Package balance picks the node whose target gets the next attempt of a
// request.
//
// A Table holds the endpoints of every service. An endpoint is a node with a
// target of the service beside it. Its identity and state come from membership.
// Its load comes from the load sample on each answer and refusal. Targets change
// within milliseconds, so a sample loses weight as it ages. A pick is only an
// estimate: each node enforces the limits of its own target, and a wrong pick
// costs one hop, which that node refuses. The caller of Pick excludes the
// endpoints that it has tried already, so that a refusal is followed at once by
// an attempt at another endpoint.
//
// An endpoint is not picked while membership or its latest sample reports it as
// draining, out of service or without a target, while membership suspects its
// node, or while it is ejected. A target is ejected if the node beside it reports
// so. This node also ejects an endpoint itself after several consecutive failed
// attempts, for times that grow with each ejection. If more than half of a
// service's usable endpoints are ejected, the cause is probably not the
// endpoints. Then ejection is ignored, and ejected endpoints count as cold. This
// sends little work to a target that its own node has ejected, since that node
// admits no more than the cold limit.
//
// A Policy chooses among the remaining endpoints. Names lists the policies.
// DefaultPolicy prefers the local data centre while it has capacity, then the
// region, then the rest, and takes the best score of a few random choices among
// those. A cold endpoint is considered with a probability in proportion to its
// limit.
package balance
