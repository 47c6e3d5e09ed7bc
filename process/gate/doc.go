// Package gate decides which requests the node beside a target lets through.
//
// All requests to the target pass its own node, so what the gate counts is
// exact: requests in flight, arrivals at a cold target in any second, second
// sends beyond the service's budget, and whether the target has begun to leave.
// A refusal therefore proves that the request has not reached the target.
//
// Requests that find no room wait in a short queue, the most urgent first. One
// that can't be answered in time, by the pace of the queue, is refused at once
// with the time after which there should be room.
//
// Nothing in this package does I/O or reads a clock.
package gate
