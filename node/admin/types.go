package admin

import (
	"time"

	"verbenatrestle/request"
	"verbenatrestle/version"
)

// Headers of a change.
const (
	// HeaderOperationID is the ID of a change. If it is absent, the node generates
	// one.
	HeaderOperationID = "Vt-Operation-Id"
	// HeaderActor is the name of the person or program that makes a change.
	HeaderActor = "Vt-Actor"
)

// States of a data centre or a target in an AdminStateRequest.
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

// ChangeResponse is the response to an accepted change or to a dry run.
type ChangeResponse struct {
	// Version is the version that the change made, or the one that the dry run
	// was checked against.
	Version uint64 `json:"version"`
	// OperationID is the ID of the change.
	OperationID string `json:"operation_id"`
	// AcceptedAt is the time at which the change was accepted, zero for a dry run.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// Summary describes the change in one line.
	Summary string `json:"summary"`
	// Repeated is set if the change had been accepted before.
	Repeated bool `json:"repeated,omitempty"`
	// DryRun is set if the change was only checked.
	DryRun bool `json:"dry_run,omitempty"`
}

// Problem is the problem document of a failure.
type Problem struct {
	request.Failure
	// OperationID is the ID of the change that failed, if any.
	OperationID string `json:"operation_id,omitempty"`
	// Problems are the errors in the texts of the change.
	Problems []version.Problem `json:"problems,omitempty"`
	// Version is the active version with which a change conflicted.
	Version uint64 `json:"version,omitempty"`
	// ChangesSince are the changes since the base version of a change that
	// conflicted, oldest first.
	ChangesSince []version.HistoryEntry `json:"since,omitempty"`
}

// NodeStatus is the active configuration version of a node.
type NodeStatus struct {
	// Node is the node's name.
	Node string `json:"node"`
	// DataCentre is the node's data centre.
	DataCentre string `json:"data_centre"`
	// State is the node's state in the member table.
	State string `json:"state"`
	// Version is the active version.
	Version uint64 `json:"version"`
	// DelayMS is the time from the acceptance of the version to its activation at
	// the node, in milliseconds, or -1 if the answering node doesn't know it.
	DelayMS int64 `json:"delay_ms"`
}

// StatusResponse is the response of GET /v1/status.
type StatusResponse struct {
	// Node is the answering node.
	Node string `json:"node"`
	// Version is its active version.
	Version uint64 `json:"version"`
	// AcceptedAt is the time at which that version was accepted.
	AcceptedAt time.Time `json:"accepted_at,omitzero"`
	// DelayMS is the time from the acceptance of the version to its activation at
	// this node, in milliseconds.
	DelayMS int64 `json:"delay_ms"`
	// Nodes holds the status of all nodes that the answering node knows.
	Nodes []NodeStatus `json:"nodes"`
}
