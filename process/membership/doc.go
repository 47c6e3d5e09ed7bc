// Package membership tells each node which other nodes and targets there are.
package membership
