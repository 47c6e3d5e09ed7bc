// Package gate implements admission control at the node beside a target.
//
// Every request to a target passes through the target's own node, so the counts
// of the gate are exact: the requests in flight, the requests that a cold target
// received within any second and the retries that it received. Requests that
// were caused by retries are estimated. The gate also knows whether the target
// is draining. A refusal proves that this attempt has not reached the target. If
// the reason is RefusedDuplicate, an earlier attempt may have.
//
// A request that can't start at once waits in a short priority queue. If the
// mean run times show that it could not be answered in time, it is refused at
// once, with the time after which capacity is expected.
//
// The package does no I/O and reads no clock.
package gate
