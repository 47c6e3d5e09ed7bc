package admin

import (
	"time"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// Headers of a change.
const (
	// HeaderOperationID names a change. The node draws one if it is absent.
	HeaderOperationID = "Vt-Operation-Id"
	// HeaderActor tells who makes a change.
	HeaderActor = "Vt-Actor"
)

// States of a data centre or a target in a SwitchRequest.
const (
	// StateIn means in service.
	StateIn = "in"
	// StateOut means out of service.
	StateOut = "out"
)

// AdminStateRequest is the body of a PUT of a data centre or a target.
type AdminStateRequest struct {
	// State is StateIn or StateOut.
	State string `json:"state"`
}

// ChangeResponse is the answer to an accepted change, or to a dry run.
type ChangeResponse struct {
	// Version is the version that the change made, or the one that the dry run
	// was checked against.
	Version uint64 `json:"version"`
	// OperationID names the change.
	OperationID string `json:"operation_id"`
	// AcceptedAt is when the change was accepted. Zero for a dry run.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// Summary says what changed, in one line.
	Summary string `json:"summary"`
	// Repeated tells that the change had been accepted already.
	Repeated bool `json:"repeated,omitempty"`
	// DryRun tells that the change was checked and not made.
	DryRun bool `json:"dry_run,omitempty"`
}

// Problem is the body of a failure.
type Problem struct {
	request.Failure
	// OperationID names the change that failed, if any.
	OperationID string `json:"operation_id,omitempty"`
	// Problems are the faults in the texts of the change.
	Problems []version.Problem `json:"problems,omitempty"`
	// Version is the version in force when a change conflicted.
	Version uint64 `json:"version,omitempty"`
	// ChangesSince are the changes that others made since the base of a change that
	// conflicted, oldest first.
	ChangesSince []version.HistoryEntry `json:"since,omitempty"`
}

// NodeStatus tells which version of the configuration a node has in force.
type NodeStatus struct {
	// Node is the node's name.
	Node string `json:"node"`
	// DataCentre is the node's data centre.
	DataCentre string `json:"data_centre"`
	// State is the node's state in the member table.
	State string `json:"state"`
	// Version is the version in force.
	Version uint64 `json:"version"`
	// DelayMS is the time from the acceptance of the version to its being in
	// force, as far as the answering node knows, in milliseconds. -1 means
	// unknown.
	DelayMS int64 `json:"delay_ms"`
}

// StatusResponse is the answer of GET /v1/status.
type StatusResponse struct {
	// Node is the answering node.
	Node string `json:"node"`
	// Version is the version in force there.
	Version uint64 `json:"version"`
	// AcceptedAt is when that version was accepted.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// DelayMS is how long it took to be in force there, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Nodes are all nodes that the answering node knows.
	Nodes []NodeStatus `json:"nodes"`
}
