// Package admin is the administration API of a node, over HTTP.
//
// Every request needs the bearer token from the node's settings. The API uses
// plain HTTP: anyone on the network between vtctl and the node can read the token
// and all responses.
//
//	POST /v1/apply                 sets templates and organisations
//	GET  /v1/configuration         the active configuration, with its texts
//	GET  /v1/history               who changed what and when, oldest first
//	PUT  /v1/datacentres/{name}    {"state":"out"} or {"state":"in"}
//	PUT  /v1/targets/{node}        {"state":"out"} or {"state":"in"}
//	GET  /v1/state                 dump of the process; ?part=NAME for one part
//	GET  /v1/status                the active version on each node
//	GET  /metrics                  metrics in the Prometheus text format
//
// The body of /v1/apply consists of one or more YAML documents, or, with the
// content type application/json, of a list of {"file":...,"text":...}. With
// ?dry_run=1 any change is checked against the active configuration and not made.
// A change may have these headers:
//
//	Vt-Operation-Id   ID of the change; a repeated change is made only once
//	Vt-Actor          who makes the change, for the history
//	If-Match          the only version that the change may be applied to
//
// A failure is an RFC 9457 problem document with the step and the node at which
// it occurred. Its outcome is "not-run" if the change was not made and never will
// be. The outcome is "unknown" if the change may have been made: send it again
// with the same operation ID, to any node.
package admin
