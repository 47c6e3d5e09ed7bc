// Package hops remembers the requests that other nodes have sent to a node, and its
// responses, for a short time. A response that is lost with its connection can then be
// collected over another one, and a request that never arrived is known not to have.
package hops
