// Package peerlink keeps the links between nodes: one WebSocket connection for
// each pair of nodes that talk, opened when the first message is sent and
// carrying typed CBOR messages (connection/wire) both ways.
//
// # Links
//
// Send queues a message for a peer and never blocks. Without a link it starts a
// dial. When two nodes dial each other at once, the dial of the smaller name
// goes on and the other is answered with 409. A failed dial drops what was
// queued, is told to the handler as LinkDown, and is followed by a growing
// pause. Messages of one link arrive in the order in which they were sent;
// messages that were under way when a link broke are lost, and nothing is sent
// twice.
//
// A peer that is silent is pinged. One that then stays silent for the silence
// timeout, such as a stopped process or a lost VM, has its link closed and
// LinkDown called. A link that carries no message for the idle timeout is
// closed in order, and LinkDown is called with a nil error.
//
// # Bounds
//
// Each peer has a bounded queue of messages to send and a bounded inbox of
// messages to handle; what exceeds them is dropped and counted. A message
// larger than the limit is refused by Send, and a frame that announces more
// closes the link before its bytes are read. The number of connections in their
// handshake, their time, their request's length and the remembered nonces are
// bounded as well. Anything else than the protocol on the port closes the
// connection, is counted, and is logged with its step and peer at a bounded
// rate.
//
// # Authentication
//
// All nodes share the peer key from the settings. The dialler signs its name,
// the listener's name, its process's instance, its clock and a nonce with
// HMAC-SHA256; the listener checks the signature in constant time, the clock
// within a window, and that the nonce was not used before, and signs its own
// answer over the same nonce. A recorded handshake can't be used again.
//
// Not protected yet: there is no encryption, and frames after the handshake
// carry no signature. Whoever can read the network reads the messages, and
// whoever can write into a TCP connection can forge them. A node that holds the
// key can pose as any other node. A listener that restarted forgets its nonces,
// so a handshake recorded within the clock window could be replayed to it once,
// although the replayer then can't read or sign anything new. TLS is to come.
//
// # Threads
//
// One gnet event loop reads and writes all links. The handler is called from a
// goroutine for each peer that has something to handle; a quiet link has none.
package peerlink
