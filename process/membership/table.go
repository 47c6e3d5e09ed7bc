package membership

import (
	"math/rand/v2"
	"time"

	"verbenatrestle/connection/wire"
)

// Options are the settings of a Table; zero fields take their defaults.
type Options struct {
	// Period is the time between two heartbeats.
	Period time.Duration
}

// Table is what a node knows of the fleet. It is safe for concurrent use.
type Table struct{}

// Rumour is a short message of another package that is flooded to every node.
type Rumour struct {
	// Origin is the node that started the rumour.
	Origin string
	// ID is unique among the rumours of its origin.
	ID uint64
	// Topic says which package the rumour is for.
	Topic uint8
	// Payload is the package's own encoding.
	Payload []byte
}

// Topics of rumours.
const (
	// TopicConfiguration announces a configuration version.
	TopicConfiguration uint8 = 1
	// TopicQuarantine announces a quarantined request.
	TopicQuarantine uint8 = 2
)

// Change is a member's change in the table.
type Change struct {
	// Before is the former entry; its Node is "" for a new member.
	Before Member
	// After is the entry now; its Node is "" for a forgotten member.
	After Member
}

// NewTable returns a table that knows only self.
func NewTable(self Member, opts Options, rng *rand.Rand) *Table { return &Table{} }

// Register registers the messages of this package with the codec.
func Register(codec *wire.Codec) {}

// Self returns this node's own entry.
func (t *Table) Self() Member { return Member{} }

// Members returns every known member, by name.
func (t *Table) Members() []Member { return nil }

// Lookup returns a member by its node's name.
func (t *Table) Lookup(node string) (Member, bool) { return Member{}, false }

// PeerAddress returns a member's peer address; it fits peerlink's Resolve.
func (t *Table) PeerAddress(node string) (string, bool) { return "", false }

// ByService returns the present members whose target is of a service, by name.
// The slice is shared: callers must not change it.
func (t *Table) ByService(service string) []Member { return nil }

// Neighbours returns the names of the members that this node heartbeats.
func (t *Table) Neighbours() []string { return nil }

// Version counts the changes of the table.
func (t *Table) Version() uint64 { return 0 }

// Subscribe has f called after each change, outside the table's lock.
func (t *Table) Subscribe(f func(Change)) {}

// SubscribeRumours has f called once for each rumour of a topic from another
// node, outside the table's lock.
func (t *Table) SubscribeRumours(topic uint8, f func(now time.Time, r Rumour)) {}

// UpdateSelf changes this node's own entry and floods it to the neighbours.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) []wire.Envelope { return nil }

// Seed takes in members that were read from the platform.
func (t *Table) Seed(now time.Time, members []Member) []wire.Envelope { return nil }

// Tick does what is due and returns what is to be sent. Call it at least four
// times a period.
func (t *Table) Tick(now time.Time) []wire.Envelope { return nil }

// Handle takes in a message of this package and returns what is to be sent.
func (t *Table) Handle(now time.Time, from string, message any) []wire.Envelope { return nil }

// Handles reports whether the message is one of this package.
func Handles(message any) bool { return false }

// LinkUp tells the table that the link to a peer is open.
func (t *Table) LinkUp(now time.Time, peer string) []wire.Envelope { return nil }

// LinkDown tells the table that the link to a peer failed.
func (t *Table) LinkDown(now time.Time, peer string) []wire.Envelope { return nil }

// Flood starts a rumour and returns what is to be sent.
func (t *Table) Flood(now time.Time, topic uint8, payload []byte) []wire.Envelope { return nil }

// Leave marks this node as left and floods it.
func (t *Table) Leave(now time.Time) []wire.Envelope { return nil }
