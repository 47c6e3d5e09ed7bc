// Package configstore keeps the configuration that is in force in a node and
// commits operators' changes to it.
//
// # Model
//
// The whole configuration is one object at the platform, a version.Document.
// It changes only by a conditional write, and each accepted change raises its
// version by one. A Store holds the highest version that the node ever saw,
// wherever it came from: a commit of its own, a watch at the platform or a
// peer. A lower or equal version is ignored, so a stale read, a watch that
// skips and a peer that lags can't turn the node back.
//
// A Committer applies a change to the object. Its answer is one of three:
//
//   - accepted: the change is in the object's history, exactly once;
//   - refused, by an *version.InvalidError, *version.ConflictError or
//     *UnavailableError: it is not in the history and never will be;
//   - *UnknownError: the platform's answer was lost, and it could not be read
//     back. The operator sends the change again under the same operation ID,
//     to any node, and it takes effect once at most.
//
// Two operators who change different things at once both win: the later
// change is applied anew on top of the earlier. If both set the same thing
// to different values, the later is refused and told what changed.
//
// A node that starts asks the platform and its peers before it serves, and
// offers what both tell to its Store.
//
// The platform is an interface, and time, delays and random numbers are
// arguments.
package configstore
