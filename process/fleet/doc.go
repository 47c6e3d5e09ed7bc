// Package fleet holds what a node believes of the other nodes and of the
// targets beside them.
//
// Each node tells every other of itself in datagrams: at a fixed period, and
// at once when its target's speed or openness changes. A status replaces an
// older one of the same life of the node. A node that fell silent, or that says
// that it does not hear this one, is out of reach until that changes.
//
// Statuses also carry the number of the configuration in force and which data
// centres are out, so that a node that can't reach the platform learns of
// changes from its peers.
//
// Nothing in this package does I/O or reads a clock.
package fleet
