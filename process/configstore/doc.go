// Package configstore holds the active configuration of a node and commits
// changes of operators to the configuration at the platform.
//
// # Model
//
// The whole configuration is one object at the platform, a version.Document.
// It is only changed by conditional writes, and each accepted change increases
// its version by one. A Store holds the highest version that the node has
// received from any source: its own commits, a watch at the platform or a
// peer. It ignores the same and lower versions, so a stale read, a watch that
// skips events or a peer that lags can't roll the node back.
//
// A Committer applies a change to the object. A commit ends in one of three
// ways:
//
//   - The change is accepted: it is in the object's history exactly once.
//   - The change is refused with a *version.InvalidError, a
//     *version.ConflictError or an *UnavailableError: it is not in the history
//     and never will be.
//   - The outcome is unknown, reported by an *UnknownOutcomeError: the response
//     of the platform was lost, and the object could not be read back. The operator
//     sends the change again to any node under the same operation ID, and it
//     takes effect at most once.
//
// If two operators change different things at the same time, both changes
// succeed: the later one is applied again on top of the earlier one. If both
// set the same thing to different values, the later one is refused, and its
// error names what was changed.
//
// Before a node serves requests, it asks the platform and its peers for the
// configuration and updates its Store with their responses.
//
// The platform is an interface, and the caller provides time, delays and
// random numbers.
package configstore
