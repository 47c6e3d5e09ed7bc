// Package pipeline is an HTTP/1.1 server that handles the pipelined requests of
// a connection concurrently.
//
// http.Server reads the next request of a connection only after it has responded
// to the previous one, so pipelined requests wait unread for that time. Server
// reads ahead, handles the requests concurrently, and writes the responses in the
// order of the requests. Since it always reads from the connection, it also
// notices at once that a caller has disconnected, and cancels the contexts of
// that caller's requests.
//
// Messages are parsed by net/http.
package pipeline
