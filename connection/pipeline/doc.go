// Package pipeline is the server side of HTTP/1.1 where requests of one
// connection run side by side.
//
// http.Server reads the next request of a connection only after it has
// answered the one before, so a pipelined request waits unread for as long as
// that takes. A Server here reads ahead, runs the requests side by side, and
// writes the answers in the order of the requests. Since it always reads, it
// also notices at once that a caller has left, and cancels that caller's work.
//
// Messages are parsed by net/http.
package pipeline
