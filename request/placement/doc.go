// Package placement chooses the target that a request is sent to.
//
// The choice minimises the expected cost of the request, in mean run times: it
// grows with the load of a target, its present slowdown and its failure rate.
// The package does no I/O, and random numbers are passed in as arguments.
package placement
