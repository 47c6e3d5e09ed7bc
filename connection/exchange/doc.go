// Package exchange is the HTTP/1.1 client for requests to targets and to other
// nodes. Its pooled connections carry one request at a time.
//
// It differs from http.Transport in guarantees that a load balancer needs:
//
//   - An error reports whether any byte of the request may have reached the
//     server. A request that certainly did not can be sent elsewhere.
//   - It never sends a request twice by itself.
//   - A response must repeat the ID of its request. A late response to an earlier
//     request is skipped, and the matching one may follow on the same connection.
//     An error response may lack the ID, and is the last one of its connection.
//   - A response is read completely before it is returned, so that a truncated
//     one can't be mistaken for a complete one.
//   - An idle connection is checked before it is used again: it is discarded if
//     the server has closed it or has sent bytes since the last response.
//
// Messages are parsed by net/http.
package exchange
