// Package soak holds the parts of the fault soak that are not nodes: a proxy that
// injects faults into connections, callers that record each response, and checks
// of these records and of the targets' records against the invariants.
//
// The programs run as separate processes. scripts/soak.sh starts them, sends
// signals and switches faults on and off in an order that a seed determines.
package soak
