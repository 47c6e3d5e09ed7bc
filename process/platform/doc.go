// Package platform is a client of the platform's object API, which offers versioned
// objects with conditional writes and watches over HTTP.
//
// # Model
//
// An object has a key, a version and a value of up to one mebibyte. A write
// specifies the version that it replaces; the platform rejects it with a conflict
// if the object has another version. A watch is a long poll for the changes after
// a revision of the whole store.
//
// # Errors
//
// The platform has outages, and responses may get lost. Each error therefore says
// whether the write may have taken effect:
//
//   - ErrUnavailable: the write certainly had no effect. For example, the platform
//     could not be reached or responded with status 503. A RateLimitedError is
//     also an ErrUnavailable.
//   - ErrUnknownOutcome: the write may have taken effect. The caller reads the
//     object and checks whether it contains the caller's own change.
//   - ConflictError: the write had no effect. The error contains the current
//     version and value of the object. The version is zero if the object to replace
//     doesn't exist.
//   - ErrNotFound: the object to read or delete doesn't exist.
//
// Reads have no effect, so a failed read is always ErrUnavailable, except for
// ErrNotFound and, from a watch, ErrCompacted.
//
// # Load on the platform
//
// A token bucket limits the rate of a client's calls. After a failure a caller
// waits for a Backoff delay with full jitter. A Watcher keeps one watch open, and
// delays its next call after a change by a random time. Without these random
// delays, all nodes of a fleet would call at the same moment when an object
// changes or an outage ends.
package platform
