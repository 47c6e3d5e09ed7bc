// Package capacity works out what a node costs and how that grows with the
// fleet.
//
// A measurement takes snapshots of a running fleet: the processor time and the
// memory that the system shows for each process, the counters of each node's
// /metrics, and the platform's count of calls. Two snapshots of one phase of one
// fleet give rates. The same figure at several sizes of fleet gives two least-
// squares lines, one over the number of nodes and one over its logarithm, and
// with them a value at the target size.
//
// Phases are "idle" and "idle-120-services" (no requests), "load" (a light
// load), "lookups" and "filings" (requests at one ingress node, the first of the
// list, which has no target), "lost" and
// "back" (a data centre, as the other nodes see it), and any other name for
// changes of configuration.
package capacity
