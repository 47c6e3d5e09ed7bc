// Package departure keeps which processes of targets leave or have left for good.
//
// A node that has acknowledged a departure must not send the process requests again, also
// after a restart of its own: a report that the process sent before may still arrive, and
// nothing in it shows its age. So departures outlast the node in the platform's store and
// at other nodes. This package makes no calls.
package departure
