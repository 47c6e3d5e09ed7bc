package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint names a request by its content, for requests without an
// idempotency key. Equal requests have equal fingerprints.
type Fingerprint uint64

// fingerprintSeparator keeps the parts of a request apart. It can't be part
// of a method or a path.
const fingerprintSeparator = "\x00"

// NewFingerprint returns the fingerprint of a request. Target is the path
// with the query. A body that was read in part may be given as its prefix.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(method)
	_, _ = digest.WriteString(fingerprintSeparator)
	_, _ = digest.WriteString(target)
	_, _ = digest.WriteString(fingerprintSeparator)
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// KeyFingerprint returns the fingerprint of a request that has an
// idempotency key. Service is the full name of the service.
func KeyFingerprint(service, key string) Fingerprint {
	return NewFingerprint(HeaderIdempotencyKey, service, []byte(key))
}

// String returns the fingerprint in hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}
