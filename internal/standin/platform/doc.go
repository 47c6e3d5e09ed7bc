// Package platform is a stand-in for the platform's object API, for the demo,
// tests and measurements. It keeps everything in memory.
//
// # API
//
//	GET    /v1/objects/{key}   value, version in ETag; 404
//	PUT    /v1/objects/{key}   with If-Match: "version" or If-None-Match: *;
//	                           200 with the new ETag; 412 with the present
//	                           value and ETag ("0" if there is none); 413; 428
//	DELETE /v1/objects/{key}   with If-Match; 200; 404; 412
//	GET    /v1/objects?prefix= {"revision", "objects": [...]}
//	GET    /v1/watch?prefix=&after=&wait_ms=  the same, for objects that
//	                           changed after a revision; waits for a change
//
// Each call counts against a rate of reads or of writes, a watch as one read.
// Calls beyond it get 429 with Retry-After.
//
// # Misbehaviour
//
// POST /control takes the JSON form of Control: down, slow, lost answers,
// watches that stall or skip changes, and stale reads. A call that is slow
// takes effect even when its caller has gone, so a write can land late. GET
// /stats gives the JSON form of Stats.
package platform
