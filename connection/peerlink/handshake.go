package peerlink

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Headers of the WebSocket handshake.
const (
	headerNode      = "Vt-Node"      // name of the sending node
	headerPeer      = "Vt-Peer"      // name of the receiving node
	headerInstance  = "Vt-Instance"  // ID of the sending process, a new one after each start
	headerTime      = "Vt-Time"      // clock of the sending node, Unix milliseconds
	headerNonce     = "Vt-Nonce"     // nonce of the dialler, repeated by the listener, hexadecimal
	headerSignature = "Vt-Signature" // HMAC-SHA256 of the other fields, hexadecimal
)

// nonceBytes is the length of nonces and instance IDs in bytes, before encoding.
const nonceBytes = 16

// maxNodeNameBytes is the longest node name, in bytes.
const maxNodeNameBytes = 255

// handshakeMessage holds the fields that each side sends in the handshake.
type handshakeMessage struct {
	node, peer string
	instance   string
	unixMillis int64
	nonce      string
	signature  string
}

// set sets the field of an HTTP header. It ignores other headers.
func (h *handshakeMessage) set(key, value string) error {
	switch http.CanonicalHeaderKey(key) {
	case headerNode:
		h.node = value
	case headerPeer:
		h.peer = value
	case headerInstance:
		h.instance = value
	case headerNonce:
		h.nonce = value
	case headerSignature:
		h.signature = value
	case headerTime:
		millis, err := strconv.ParseInt(value, 10, 64)
		if err != nil {
			return errors.Errorf("header %s: %q is not a number", headerTime, value)
		}
		h.unixMillis = millis
	}
	return nil
}

// header returns the message as HTTP headers.
func (h *handshakeMessage) header() http.Header {
	header := make(http.Header)
	header.Set(headerNode, h.node)
	header.Set(headerPeer, h.peer)
	header.Set(headerInstance, h.instance)
	header.Set(headerTime, strconv.FormatInt(h.unixMillis, 10))
	header.Set(headerNonce, h.nonce)
	header.Set(headerSignature, h.signature)
	return header
}

// role is part of the signed data, so that the signature of one side can't be
// replayed as the signature of the other.
type role string

const (
	roleDialler  role = "dial"
	roleListener role = "listen"
)

// sign returns the signature of the message with the key, hexadecimal.
func (h *handshakeMessage) sign(key []byte, as role) string {
	fields := []string{string(as), h.node, h.peer, h.instance, strconv.FormatInt(h.unixMillis, 10), h.nonce}
	mac := hmac.New(sha256.New, key)
	mac.Write([]byte(strings.Join(fields, "\n")))
	return hex.EncodeToString(mac.Sum(nil))
}

// verify checks the signature in constant time.
func (h *handshakeMessage) verify(key []byte, as role) error {
	if !hmac.Equal([]byte(h.sign(key, as)), []byte(h.signature)) {
		return errors.New("signature does not fit the peer key")
	}
	return nil
}

// checkNames returns an error if the message does not come from another node's
// dial to self.
func (h *handshakeMessage) checkNames(self string) error {
	switch {
	case !validName(h.node):
		return errors.Errorf("header %s: not a node name", headerNode)
	case h.peer != self:
		return errors.Errorf("dial is meant for %q", h.peer)
	case h.node == self:
		return errors.New("dialler has this node's name")
	}
	return nil
}

// checkTime returns an error if the dialler's clock differs from now by more than
// maxSkew.
func (h *handshakeMessage) checkTime(now time.Time, maxSkew time.Duration) error {
	skew := now.Sub(time.UnixMilli(h.unixMillis))
	if skew.Abs() > maxSkew {
		return errors.Errorf("dialler's clock is off by %s, more than %s", skew, maxSkew)
	}
	return nil
}

// validName reports whether a node name can be sent in a header and be signed: it
// is not empty, not too long, and consists of printable ASCII characters without
// spaces.
func validName(name string) bool {
	if name == "" || len(name) > maxNodeNameBytes {
		return false
	}
	for _, c := range []byte(name) {
		if c <= ' ' || c > '~' {
			return false
		}
	}
	return true
}

// newNonce returns a random nonce, hexadecimal.
func newNonce() string {
	var nonce [nonceBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}
