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
	headerNode      = "Vt-Node"      // name of the node that sends the header
	headerPeer      = "Vt-Peer"      // name of the node that is meant
	headerInstance  = "Vt-Instance"  // run of the sending process
	headerTime      = "Vt-Time"      // dialler's clock, Unix milliseconds
	headerNonce     = "Vt-Nonce"     // dialler's nonce, hexadecimal
	headerSignature = "Vt-Signature" // HMAC-SHA256, hexadecimal
)

// nonceBytes is the length of nonces and instances before encoding.
const nonceBytes = 16

// maxNodeNameBytes is the longest node name, in bytes.
const maxNodeNameBytes = 255

// handshakeMessage is what the two sides tell each other in a handshake.
type handshakeMessage struct {
	node, peer string
	instance   string
	unixMillis int64
	nonce      string
	signature  string
}

// set takes in one header; unknown ones are ignored.
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

// header returns the hello as HTTP headers.
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

// role separates the signatures of the two sides, so that neither can be
// reflected as the other.
type role string

const (
	roleDialler  role = "dial"
	roleListener role = "listen"
)

// sign returns the signature of the hello under the key.
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

// checkNames reports names that can't be those of a dial to self.
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

// checkTime reports a dialler's clock outside of the window.
func (h *handshakeMessage) checkTime(now time.Time, window time.Duration) error {
	off := now.Sub(time.UnixMilli(h.unixMillis))
	if off.Abs() > window {
		return errors.Errorf("dialler's clock is off by %s, more than %s", off, window)
	}
	return nil
}

// validName reports whether a node name fits a header and a signature.
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

// newNonce returns a random nonce.
func newNonce() string {
	var nonce [nonceBytes]byte
	// crypto/rand.Read never fails.
	_, _ = rand.Read(nonce[:])
	return hex.EncodeToString(nonce[:])
}
