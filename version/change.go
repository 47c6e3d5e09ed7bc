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
	// maxIDBytes bounds an operation ID, an actor and a node's name, in bytes.
	maxIDBytes = 128
	// maxSummaryBytes bounds the summary of a history entry, in bytes.
	maxSummaryBytes = 400
)

// AdminStateChange takes a data centre or a target out of service or back in.
type AdminStateChange struct {
	// Name is the data centre, or the node beside the target.
	Name string `json:"name"`
	// OutOfService tells that it is to be out of service.
	OutOfService bool `json:"out"`
}

// Change is what an operator asks for: any number of templates and
// organisations to set, and data centres and targets to switch. It is applied
// as a whole or not at all.
type Change struct {
	// OperationID names the change. A change that is sent again has the same
	// ID, and is applied once.
	OperationID string `json:"operation_id"`
	// Base, if not zero, is the only version that the change may be applied to.
	Base uint64 `json:"base"`
	// Files hold templates and organisations. Those not named stay as they are.
	Files []File `json:"files,omitempty"`
	// DataCentres are the data centres to switch.
	DataCentres []AdminStateChange `json:"data_centres,omitempty"`
	// Targets are the targets to switch.
	Targets []AdminStateChange `json:"targets,omitempty"`
}

// ConflictError refuses a change because what it changes, or the version that
// it names, was changed by others since.
type ConflictError struct {
	// Base is the version that the change started from.
	Base uint64
	// Version is the version now.
	Version uint64
	// Resources are what both changed, such as "organisation kodumala". Empty
	// if the change named its base.
	Resources []string
	// ChangesSince are the changes after Base, oldest first.
	ChangesSince []HistoryEntry
}

// Error tells what changed, by whom and when.
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

// ReusedOperationError refuses a change whose operation ID names another one.
type ReusedOperationError struct {
	// OperationID is the ID that both changes have.
	OperationID string
	// Version is the version that the other change made.
	Version uint64
}

// Error implements error.
func (e *ReusedOperationError) Error() string {
	return fmt.Sprintf("apply change: operation %s made version %d with another content", e.OperationID, e.Version)
}

// Digest identifies the content of the change, without ID and base.
func (c Change) Digest() string {
	c.OperationID, c.Base = "", 0
	text, err := json.Marshal(c)
	if err != nil {
		panic("version: marshal change: " + err.Error()) // strings and booleans only
	}
	return strconv.FormatUint(xxhash.Sum64(text), 16)
}

// Apply returns the document after a change. A change whose operation ID is
// in the history leaves the document as it is. The error is a *ConflictError,
// *InvalidError or *ReusedOperationError, or tells of a bad operation ID; the
// document is then unchanged.
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
	next.record(doc, change, now, actor)
	return next, nil
}

func checkIDs(change Change, actor string) error {
	if !validID(change.OperationID) {
		return errors.Errorf("apply change: operation ID %q is empty, not printable ASCII or longer than %d bytes", change.OperationID, maxIDBytes)
	}
	if !validID(actor) {
		return errors.Errorf("apply change: actor %q is empty, not printable ASCII or longer than %d bytes", actor, maxIDBytes)
	}
	return nil
}

func validID(id string) bool {
	return id != "" && len(id) <= maxIDBytes && strings.IndexFunc(id, notGraphic) < 0
}

func notGraphic(c rune) bool { return c <= ' ' || c > '~' }

// merge returns the document with the change's sources and switches, checked.
func (c Change) merge(doc Document) (Document, error) {
	ps := &problems{}
	set := readFiles(c.Files, ps)
	next := doc
	next.Templates = mergeSources(doc.Templates, set.templates)
	next.Organisations = mergeSources(doc.Organisations, set.organisations)
	next.DataCentresOut = switchNames(doc.DataCentresOut, c.DataCentres)
	next.TargetsOut = switchNames(doc.TargetsOut, c.Targets)
	organisations := stampAll(next, set.incomplete, ps)
	if err := ps.err(); err != nil {
		return doc, err
	}
	checkSwitches(c, doc, organisations, ps)
	return next, ps.err()
}

// switchNames returns the names that are out after the switches, sorted.
func switchNames(out []string, switches []AdminStateChange) []string {
	names := slices.Clone(out)
	for _, s := range switches {
		names = slices.DeleteFunc(names, func(name string) bool { return name == s.Name })
		if s.OutOfService {
			names = append(names, s.Name)
		}
	}
	return sortedNames(names)
}

// checkSwitches adds a problem for each switch of a thing that can't exist.
func checkSwitches(c Change, doc Document, organisations []*Organisation, ps *problems) {
	known := slices.Clone(doc.DataCentresOut)
	for _, organisation := range organisations {
		known = append(known, organisation.DataCentres...)
	}
	known = sortedNames(known)
	for _, s := range c.DataCentres {
		if !contains(known, s.Name) {
			ps.at(switchPlace("data_centres", s), "there is no such data centre; there are %s", strings.Join(known, ", "))
		}
	}
	for _, s := range c.Targets {
		if !validID(s.Name) {
			ps.at(switchPlace("targets", s), "%q is no name of a node", s.Name)
		}
	}
}

// switchPlace is the place of a switch, which stands in a command and in no
// file.
func switchPlace(list string, s AdminStateChange) place {
	return place{file: "command", line: 1, column: 1, path: "$." + list + "." + s.Name}
}

// record raises the version and adds the change to the history.
func (d *Document) record(old Document, change Change, now time.Time, actor string) {
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
		Summary:     shorten(summary, maxSummaryBytes),
	}
	kept := old.History[max(0, len(old.History)-HistoryLimit+1):]
	d.History = append(slices.Clone(kept), entry)
}

// Conflict returns a *ConflictError if a thing that the change sets was set to
// something else between the documents base and current, or nil.
func (c Change) Conflict(base, current Document) *ConflictError {
	wanted := c.things()
	before, now := base.things(), current.things()
	var both []string
	for thing, want := range wanted {
		if now[thing] != before[thing] && now[thing] != want {
			both = append(both, thing)
		}
	}
	if len(both) == 0 {
		return nil
	}
	slices.Sort(both)
	return &ConflictError{Base: base.Version, Version: current.Version, Resources: both, ChangesSince: current.ChangesSince(base.Version)}
}

// things returns what the change sets, by the name of each thing.
func (c Change) things() map[string]string {
	set := readFiles(c.Files, &problems{})
	things := Document{Templates: set.templates, Organisations: set.organisations}.things()
	for _, s := range c.DataCentres {
		things["data centre "+s.Name] = switchText(s.OutOfService)
	}
	for _, s := range c.Targets {
		things["target "+s.Name] = switchText(s.OutOfService)
	}
	return things
}

// things returns what the document holds, by the name of each thing. What is
// in service is left out.
func (d Document) things() map[string]string {
	things := make(map[string]string)
	for _, source := range d.Templates {
		things[kindOfTemplate+" "+source.Name] = source.Text
	}
	for _, source := range d.Organisations {
		things[kindOfOrganisation+" "+source.Name] = source.Text
	}
	for _, name := range d.DataCentresOut {
		things["data centre "+name] = switchText(true)
	}
	for _, name := range d.TargetsOut {
		things["target "+name] = switchText(true)
	}
	return things
}

// switchText is the text of a switch as a thing; "" stands for in service, as
// for whatever a document does not name.
func switchText(out bool) string {
	if out {
		return "out"
	}
	return ""
}
