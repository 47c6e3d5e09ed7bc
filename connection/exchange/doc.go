// Package exchange is the client side of HTTP/1.1 between nodes and towards
// targets: pooled connections that carry one request at a time.
//
// It differs from http.Transport where a load balancer has to know more than a
// client does:
//
//   - An error tells whether any byte of the request may have reached the peer,
//     so that a request that surely did not may go elsewhere.
//   - Nothing is ever sent a second time on its own account.
//   - An answer has to repeat the id of its request. A late answer to an earlier
//     request is skipped, and the right one may follow on the same connection.
//   - An answer is read whole before it is handed on, so that one that breaks
//     off can't pass for a complete one.
//   - A connection is looked at before it is used again: one that was closed, or
//     that holds bytes nobody asked for, is dropped unused.
//
// Messages are parsed by net/http.
package exchange
