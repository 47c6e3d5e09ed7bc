// Package version holds the versioned configuration of the load balancer: its
// sources, their validation and history, and the forms in which nodes use it.
//
// Operators write templates and organisations as YAML. A template describes
// hosts, data centres, limits and services once for any number of organisations,
// with typed parameters; an organisation names a template and sets values for its
// parameters. A Document holds all of them, together with the data centres and
// targets that are out of service and a bounded history of who changed what. It
// is stored as the value of a single object of the platform. Each accepted change
// increments Document.Version by one.
//
// Compile renders the templates of a Document for all organisations and returns
// an immutable Snapshot, which routes requests. Validation collects problems
// instead of stopping at the first one; each Problem has its file, line, column
// and path. A change with any problem is rejected as a whole.
//
// A RouteTable is the counterpart of a Snapshot for a configuration that lists
// routes by host, without templates and organisations.
//
// Nothing in this package does I/O or reads the clock.
package version
