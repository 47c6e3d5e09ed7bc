// Package peerlink keeps the links between nodes.
package peerlink
