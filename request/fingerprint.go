package request

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request by a hash of its idempotency key or, if it
// has none, of its content. Equal requests have equal fingerprints. The hash is
// not cryptographic.
type Fingerprint uint64

// fingerprintSeparator separates the hashed parts of a request, so that moving
// bytes from one part to the next changes the hash. It can't occur in a method, a path
// or the name of a service.
const fingerprintSeparator = "\x00"

// NewFingerprint returns the fingerprint of a request by its content. The scope
// separates requests with equal targets and bodies, such as the method or the caller.
// The target is the path with the query. If the body was read only in part, the
// prefix that was read may be given instead.
func NewFingerprint(scope, target string, body []byte) Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(scope)
	_, _ = digest.WriteString(fingerprintSeparator)
	_, _ = digest.WriteString(target)
	_, _ = digest.WriteString(fingerprintSeparator)
	_, _ = digest.Write(body)
	return Fingerprint(digest.Sum64())
}

// KeyFingerprint returns the fingerprint of a request that has an idempotency
// key. The service is the full name of the called service.
func KeyFingerprint(service, key string) Fingerprint {
	return NewFingerprint(HeaderIdempotencyKey, service, []byte(key))
}

// String returns the fingerprint as 16 hexadecimal digits.
func (f Fingerprint) String() string {
	return fmt.Sprintf("%016x", uint64(f))
}
