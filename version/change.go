package version

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
)

const (
	// maxIDBytes bounds the length of an operation ID, an actor or a node name,
	// in bytes.
	maxIDBytes = 128
	// maxSummaryBytes bounds the length of HistoryEntry.Summary, in bytes.
	maxSummaryBytes = 400
)

// AdminStateChange takes a data centre or a target out of service, or returns
// it to service.
type AdminStateChange struct {
	// Name is the name of the data centre, or of the node beside the target.
	Name string `json:"name"`
	// OutOfService is true to take it out of service and false to return it to
	// service.
	OutOfService bool `json:"out"`
}

// Change is a change of the configuration that an operator requests. It sets
// any number of templates and organisations, and takes data centres and targets
// out of service or returns them to service. It is applied atomically.
type Change struct {
	// OperationID identifies the change. A client that resends a change keeps the
	// ID, so that the change is applied once.
	OperationID string `json:"operation_id"`
	// Base is the only version to which the change may be applied. Zero means
	// any version.
	Base uint64 `json:"base"`
	// Files contain the templates and organisations to add or replace. All
	// others are kept.
	Files []File `json:"files,omitempty"`
	// DataCentres lists data centres to take out of service or return to it.
	DataCentres []AdminStateChange `json:"data_centres,omitempty"`
	// Targets lists targets to take out of service or return to it.
	Targets []AdminStateChange `json:"targets,omitempty"`
}

// ConflictError is the error for a change that is based on an old version: the
// current version is not Change.Base, or one of the resources that the change
// sets was changed since.
type ConflictError struct {
	// Base is the version that the change is based on.
	Base uint64
	// Version is the current version.
	Version uint64
	// Resources names the resources that were also changed since, such as
	// "organisation kodumala". It is empty if Change.Base is not the current
	// version.
	Resources []string
	// ChangesSince lists the changes after Base, oldest first, as far as they
	// are in the history.
	ChangesSince []HistoryEntry
}

// Error returns both versions, the resources in conflict, and what was changed
// since Base, by whom and when.
func (e *ConflictError) Error() string {
	var out strings.Builder
	fmt.Fprintf(&out, "conflict: version %d was the base, %d is in force", e.Base, e.Version)
	if len(e.Resources) > 0 {
		fmt.Fprintf(&out, "; changed by others too: %s", strings.Join(e.Resources, ", "))
	}
	for _, entry := range e.ChangesSince {
		fmt.Fprintf(&out, "; version %d by %s at %s: %s", entry.Version, entry.Actor, entry.At.Format(time.RFC3339), entry.Summary)
	}
	return out.String()
}

// ReusedOperationError is the error for a change whose operation ID belongs to
// an earlier change with different content.
type ReusedOperationError struct {
	// OperationID is the operation ID of both changes.
	OperationID string
	// Version is the version that the earlier change created.
	Version uint64
}

// Error implements error.
func (e *ReusedOperationError) Error() string {
	return fmt.Sprintf("apply change: operation %s made version %d with another content", e.OperationID, e.Version)
}

// Digest returns a hash of the content of the change, without OperationID and
// Base.
func (c Change) Digest() string {
	c.OperationID, c.Base = "", 0
	text, err := json.Marshal(c)
	if err != nil {
		panic("version: marshal change: " + err.Error()) // can't happen: no field of a Change can fail to encode
	}
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}

// Apply returns the document with a change applied and recorded in the history.
// If the history already contains the same change with the same operation ID,
// Apply returns the document unchanged. On an error it also returns the
// document unchanged. The error is a *ConflictError, an *InvalidError, a
// *ReusedOperationError, or another error if the operation ID or the actor is
// malformed.
func Apply(doc Document, change Change, now time.Time, actor string) (Document, error) {
	if err := checkIDs(change, actor); err != nil {
		return doc, err
	}
	if entry, ok := doc.FindOperation(change.OperationID); ok {
		if entry.Digest != change.Digest() {
			return doc, &ReusedOperationError{OperationID: change.OperationID, Version: entry.Version}
		}
		return doc, nil
	}
	if change.Base != 0 && change.Base != doc.Version {
		return doc, &ConflictError{Base: change.Base, Version: doc.Version, ChangesSince: doc.ChangesSince(change.Base)}
	}
	next, err := change.merge(doc)
	if err != nil {
		return doc, err
	}
	next.recordChange(doc, change, now, actor)
	return next, nil
}

// checkIDs returns an error if the operation ID or the actor is malformed.
func checkIDs(change Change, actor string) error {
	if !validID(change.OperationID) {
		return errors.Errorf("apply change: operation ID %q is empty, not printable ASCII or longer than %d bytes", change.OperationID, maxIDBytes)
	}
	if !validID(actor) {
		return errors.Errorf("apply change: actor %q is empty, not printable ASCII or longer than %d bytes", actor, maxIDBytes)
	}
	return nil
}

// validID reports whether id has 1 to maxIDBytes graphic ASCII characters.
func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && strings.IndexFunc(id, notGraphic) < 0
}

func notGraphic(c rune) bool { return c <= ' ' || c > '~' }

// merge returns the document with the sources and administrative states of the
// change, or an *InvalidError if the result is not valid. It changes neither the
// version nor the history.
func (c Change) merge(doc Document) (Document, error) {
	ps := &problems{}
	set := readFiles(c.Files, ps)
	next := doc
	next.Templates = mergeSources(doc.Templates, set.templates)
	next.Organisations = mergeSources(doc.Organisations, set.organisations)
	next.DataCentresOut = applyAdminStates(doc.DataCentresOut, c.DataCentres)
	next.TargetsOut = applyAdminStates(doc.TargetsOut, c.Targets)
	organisations := renderAll(next, set.incomplete, ps)
	if err := ps.err(); err != nil {
		return doc, err
	}
	checkAdminStates(c, doc, organisations, ps)
	return next, ps.err()
}

// applyAdminStates returns the names that are out of service after the changes,
// sorted. The argument out lists those that were out of service before.
func applyAdminStates(out []string, changes []AdminStateChange) []string {
	names := slices.Clone(out)
	for _, s := range changes {
		names = slices.DeleteFunc(names, func(name string) bool { return name == s.Name })
		if s.OutOfService {
			names = append(names, s.Name)
		}
	}
	return sortedUnique(names)
}

// checkAdminStates adds a problem for each data centre of the change in which no
// organisation runs, and for each target whose node name is malformed. A data
// centre that doc lists as out of service is accepted, so that it can be returned
// to service.
func checkAdminStates(c Change, doc Document, organisations []*Organisation, ps *problems) {
	known := slices.Clone(doc.DataCentresOut)
	for _, organisation := range organisations {
		known = append(known, organisation.DataCentres...)
	}
	known = sortedUnique(known)
	for _, s := range c.DataCentres {
		if !contains(known, s.Name) {
			ps.addf(commandPosition("data_centres", s), "there is no such data centre; known data centres are %s", strings.Join(known, ", "))
		}
	}
	for _, s := range c.Targets {
		if !validID(s.Name) {
			ps.addf(commandPosition("targets", s), "%q is not a valid node name", s.Name)
		}
	}
}

// commandPosition returns the position of an administrative state change in
// messages. It comes from a command and not from a file.
func commandPosition(list string, s AdminStateChange) position {
	return position{file: "command", line: 1, column: 1, path: "$." + list + "." + s.Name}
}

// recordChange increments the version and adds the change to the history.
func (d *Document) recordChange(old Document, change Change, now time.Time, actor string) {
	d.Version = old.Version + 1
	d.OperationID = change.OperationID
	d.AcceptedAt = now.UTC().Truncate(time.Millisecond)
	d.AcceptedBy = actor
	summary := strings.Join(Diff(old, *d), "; ")
	if summary == "" {
		summary = "nothing changed"
	}
	entry := HistoryEntry{
		Version:     d.Version,
		OperationID: change.OperationID,
		At:          d.AcceptedAt,
		Actor:       actor,
		Digest:      change.Digest(),
		Summary:     truncate(summary, maxSummaryBytes),
	}
	kept := old.History[max(0, len(old.History)-HistoryLimit+1):]
	d.History = append(slices.Clone(kept), entry)
}

// Conflict returns a *ConflictError if a resource that the change sets was
// changed between the documents base and current, to something other than what
// the change sets. Otherwise it returns nil.
func (c Change) Conflict(base, current Document) *ConflictError {
	wanted := c.resources()
	before, after := base.resources(), current.resources()
	var conflicting []string
	for resource, want := range wanted {
		if after[resource] != before[resource] && after[resource] != want {
			conflicting = append(conflicting, resource)
		}
	}
	if len(conflicting) == 0 {
		return nil
	}
	slices.Sort(conflicting)
	return &ConflictError{Base: base.Version, Version: current.Version, Resources: conflicting, ChangesSince: current.ChangesSince(base.Version)}
}

// resources returns the resources that the change sets, as in
// Document.resources. It also includes resources that return to service.
func (c Change) resources() map[string]string {
	set := readFiles(c.Files, &problems{})
	resources := Document{Templates: set.templates, Organisations: set.organisations}.resources()
	for _, s := range c.DataCentres {
		resources["data centre "+s.Name] = adminStateText(s.OutOfService)
	}
	for _, s := range c.Targets {
		resources["target "+s.Name] = adminStateText(s.OutOfService)
	}
	return resources
}

// resources returns the content of each template and organisation, and the
// state of each data centre and target that is out of service. The keys are
// names such as "organisation kodumala".
func (d Document) resources() map[string]string {
	resources := make(map[string]string)
	for _, source := range d.Templates {
		resources[documentKindTemplate+" "+source.Name] = source.Text
	}
	for _, source := range d.Organisations {
		resources[documentKindOrganisation+" "+source.Name] = source.Text
	}
	for _, name := range d.DataCentresOut {
		resources["data centre "+name] = adminStateText(true)
	}
	for _, name := range d.TargetsOut {
		resources["target "+name] = adminStateText(true)
	}
	return resources
}

// adminStateText returns the value of an administrative state in a map of
// resources. It is "" for a resource in service, as a lookup returns for a
// resource that is not in the map.
func adminStateText(out bool) string {
	if out {
		return "out"
	}
	return ""
}
