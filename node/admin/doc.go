// Package admin is the administration API of a node, over HTTP.
//
// Every request carries the bearer token of the node's settings. The API is
// spoken in clear text: the token and all answers can be read on the network
// between vtctl and the node.
//
//	POST /v1/apply                 sets templates and organisations
//	GET  /v1/configuration         the configuration in force, with its texts
//	GET  /v1/history               who changed what and when, oldest first
//	PUT  /v1/datacentres/{name}    {"state":"out"} or {"state":"in"}
//	PUT  /v1/targets/{node}        {"state":"out"} or {"state":"in"}
//	GET  /v1/state                 dump of the process; ?part=NAME for a part
//	GET  /v1/status                which version is in force where
//	GET  /metrics                  metrics in the Prometheus text form
//
// The body of /v1/apply is YAML of one or more documents, or, with the
// content type application/json, a list of {"file":...,"text":...}. With
// ?dry_run=1 the change is checked against the configuration in force, and
// not made. A change may carry these headers:
//
//	Vt-Operation-Id   names the change; sent again, it is made once
//	Vt-Actor          who makes the change, for the history
//	If-Match          the only version that the change may be made to
//
// A failure is an RFC 9457 problem document with the step and the node at
// which it arose. Its outcome is "not-run" if the change was not made and
// never will be, and "unknown" if it may have been: send it again under the
// same operation ID, to any node.
package admin
