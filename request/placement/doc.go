// Package placement chooses the target that a request is sent to.
//
// The choice goes by the time that the work would take at each target now: the
// requests ahead of it, times the speed at which the target works at this
// moment. Nothing in this package does I/O; random numbers are arguments.
package placement
