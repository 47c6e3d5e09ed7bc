// Package quarantine finds requests that crash the targets that run them.
//
// When a target crashes, the node beside it records the crash with all requests
// that were in flight there. From then on, these requests are suspects on every
// node: a target runs at most one suspect at a time. A suspect that completes is
// cleared. If only one request was in flight at both of two crashes,
// it is quarantined for Settings.Duration, that is, every node refuses it. The
// requests that were in flight with it at either crash are no longer suspects,
// since the crashes are explained. If several requests were in flight at the same
// crashes, they stay suspects and run one at a time, until one of them is in
// flight at a crash without the others.
//
// The verdicts of a node depend only on the set of crashes and completions. Nodes
// exchange these records in any order and any number of times, and converge to
// the same verdicts. Times are wall-clock times of the node that recorded them.
// The clocks of nodes are assumed to differ by at most Settings.MaxClockSkew.
//
// Memory is bounded. At the limit, the oldest crash or the oldest completion is
// dropped. A request that causes crashes then needs one more crash to be
// quarantined, and a suspect whose completion was dropped stays a suspect for the
// rest of Settings.Duration.
//
// Known limitation: if two requests cause crashes at the same time, a harmless
// request may have been in flight at one crash of each. It is quarantined for
// Settings.Duration, or until a further crash caused by either shows that it was
// not the cause.
package quarantine
