package gateway

import (
	"net/http"
	"strings"

	"verbenatrestle/platform"
)

// reservedPrefix begins the names of all headers between nodes. Neither callers nor targets
// may set them, nor do they get them.
const reservedPrefix = "Vt-"

// notForwarded holds the other headers that a request does not keep: those of a single
// connection, the caller's key, and its organisation, which only nodes set.
var notForwarded = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Expect": true, "Content-Length": true,
	platform.HeaderKey: true, platform.HeaderOrganisation: true,
}

// cleanRequestHeader removes the headers that are not forwarded, among them those that the
// Connection header names. The ID of the request stays as the node has read it: it can't be
// removed by a Connection header and has one value.
func cleanRequestHeader(header http.Header, id string) {
	for _, value := range header["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for name := range header {
		if notForwarded[name] || strings.HasPrefix(name, reservedPrefix) {
			delete(header, name)
		}
	}
	if id != "" {
		header.Set(platform.HeaderRequestID, id)
	}
}

// cleanResponseHeader removes the headers between nodes from a response.
func cleanResponseHeader(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, reservedPrefix) {
			delete(header, name)
		}
	}
}
