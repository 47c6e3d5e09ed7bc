// Package version holds what lives for one version of the configuration.
//
// Operators write templates and organisations as YAML. A template describes
// services, data centres and limits once, with typed parameters; an
// organisation names a template and gives values for the parameters. All of
// it, with the data centres and targets that are out of service and a bounded
// history of who changed what, is one Document, the value of one object at the
// platform. Each accepted change raises Document.Version by one.
//
// Compile stamps a Document out for every organisation at once and yields an
// immutable Snapshot, which routes requests. Whatever is wrong is reported
// together, each problem with file, line, column and path, and nothing of the
// change is taken over.
//
// Nothing in this package does I/O. Time is an argument.
package version
