// Package platform is an in-memory stand-in for the platform's object API, for
// the demo, tests and measurements.
//
// # API
//
//	GET    /v1/objects/{key}   value, version in ETag; 404
//	PUT    /v1/objects/{key}   with If-Match: "version" or If-None-Match: *;
//	                           200 with the new ETag; 412 with the current
//	                           value and ETag ("0" if there is none); 413; 428
//	DELETE /v1/objects/{key}   with If-Match; 200; 404; 412; 428
//	GET    /v1/objects?prefix= {"revision", "objects": [...]}
//	GET    /v1/watch?prefix=&after=&wait_ms=  the same, for objects that
//	                           changed after a revision; a long poll
//
// Calls are rate limited, reads and writes separately; a watch counts as one
// read. Calls beyond the limit get 429 with Retry-After.
//
// # Fault injection
//
// POST /control takes the JSON form of Control: unavailability, delays, dropped
// responses, watches that stall or skip changes, and stale reads. A delayed
// write takes effect even if its caller has disconnected, so a write can take
// effect late. GET /stats returns the JSON form of Stats.
package platform
