// Package capacity computes what a node costs and how that depends on the size of
// the fleet.
//
// A measurement consists of snapshots of a running fleet: the processor time and
// memory of each process as the kernel reports them, the counters of each node's
// /metrics, and the platform's counters of calls. Two snapshots of one phase of
// one fleet give rates. A series holds the same metric for several sizes of the
// fleet. Two least-squares lines are fitted to it, one over the number of nodes
// and one over its logarithm, and extrapolated to the planned number of nodes.
//
// The phases are "idle" and "idle-120-services" (no requests), "load" (a light
// load), "lookups" and "filings" (requests at one ingress node, which is the
// first of the list and has no target), "lost" and "back" (the loss and the
// return of a data centre, measured at the other nodes), and any other name for
// changes of the configuration.
package capacity
