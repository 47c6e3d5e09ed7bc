// Package platform is a client of the platform's object API: versions,
// conditional writes and watches over HTTP.
//
// # Model
//
// An object has a key, a value of up to one megabyte and a version. A write
// names the version that it replaces; the platform refuses it with a conflict
// when the object has another. A watch is a long poll for the changes after a
// revision of the whole store.
//
// # What an error tells
//
// The platform has outages and loses answers, so each error says whether the
// write may have taken effect:
//
//   - ErrUnavailable: it surely did not. The platform could not be reached or
//     answered 503. A RateLimitedError is also an ErrUnavailable.
//   - ErrUnknownAnswer: it may have. The caller reads the object back and looks
//     for its own operation in it.
//   - ConflictError: it did not, and the error holds what is there instead.
//   - ErrNotFound: there is no such object.
//
// Reads have no effect, so a read that fails is always ErrUnavailable.
//
// # Load on the platform
//
// Each call takes a token from the client's rate budget. After a failure the
// caller waits for a Backoff delay with full jitter. A Watcher keeps one
// waiting call, and spreads its next call at random after each change, so that
// a fleet that wakes on the same change, or finds the platform back after an
// outage, does not call in the same moment.
package platform
