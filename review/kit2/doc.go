//go:build review

// Command review2 runs the cases of the second review that need stand-ins of their own. It
// starts the nodes with the command of the deploy file, as separate processes on loopback
// addresses, and plays the store, the servers, the clients and the operator beside them.
//
// It is built by review/build-2.sh. The build tag keeps it out of the tests of the project.
package main
