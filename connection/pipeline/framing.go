package pipeline

import (
	"net/http"
	"strings"
)

// hasInvalidName reports whether the name of a header contains a space, which http.ReadRequest
// lets through. Recipients read such a header differently, and one about the length of the body
// decides where the next request begins.
func hasInvalidName(header http.Header) bool {
	for name := range header {
		if strings.Contains(name, " ") {
			return true
		}
	}
	return false
}
