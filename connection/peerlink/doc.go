// Package peerlink manages the links between nodes. A link is a WebSocket
// connection between two nodes that is opened for the first message and carries
// typed CBOR messages (package wire) in both directions.
//
// # Links
//
// Send queues a message for a peer and never waits for the network. If there is no
// link, it starts a dial. When two nodes dial each other at the same time, the dial
// of the node with the smaller name continues and the other one is refused with
// status 409. After a failed dial the queued messages are dropped, LinkDown is
// called, and the next dial is delayed with exponential backoff. Messages on one
// link arrive in the order in which they were sent. Messages that were in flight
// when a link broke are lost, and no message is sent twice.
//
// A silent peer is pinged. If it stays silent for the silence timeout, as a stopped
// process or a lost VM does, its link is closed and LinkDown is called. A link
// that carries no message for the idle timeout is closed with a close frame, and
// LinkDown is called with a nil error.
//
// # Bounds
//
// Each peer has a bounded queue of messages to send and a bounded inbox of
// received messages. Messages beyond these bounds are dropped and counted. Send
// refuses a message that is larger than the limit, and a frame that announces a
// larger payload closes the link before its payload is read. Also bounded are the
// number of connections in their handshake, the duration of a handshake, the size
// of its request, and the number of stored nonces. A connection that sends
// anything else than this protocol is closed, counted, and logged with its step
// and peer at a bounded rate.
//
// # Authentication
//
// All nodes share the peer key from the settings. The dialler signs its name, the
// listener's name, the ID of its process, its clock and a nonce with HMAC-SHA256.
// The listener verifies the signature in constant time, checks that the clock
// differs by no more than the allowed skew and that the nonce was not used before,
// and signs its own response with the same nonce. A recorded handshake can't be
// replayed.
//
// There is no encryption, and the frames after the handshake are not signed.
// Whoever can read the network traffic can read the messages, and whoever can
// write into a TCP connection can forge them. A node that has the key can
// impersonate any other node. A listener loses its stored nonces when it restarts,
// so a handshake that was recorded within the allowed clock skew could be replayed
// to it once. The replayer could not read or sign anything new with it. TLS is
// planned.
//
// # Goroutines
//
// A single gnet event loop reads and writes all links. The handler is called from
// one goroutine for each peer that has events to handle. A peer without events has
// no goroutine.
package peerlink
