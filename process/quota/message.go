package quota

import "time"

// Limit is the quota of an organisation.
type Limit struct {
	// RatePerSecond is how many requests a second are allowed on average.
	RatePerSecond float64
	// Burst is how many requests are allowed at once after a time without requests.
	Burst float64
}

// capacity returns the capacity of the bucket.
func (l Limit) capacity() float64 {
	return max(l.Burst, l.RatePerSecond*minCapacity.Seconds(), 1)
}

// credit returns how many requests one node may admit before the coordinator confirms the report
// of them.
func (l Limit) credit(nodes int) uint64 {
	return uint64(max(1, creditShare*l.capacity()/float64(max(nodes, 1))))
}

// Ask is the message of a node to the coordinator of an organisation. It is encoded as a CBOR
// array, so new fields may only be added at the end.
type Ask struct {
	// Incarnation identifies the run of the asking node's process.
	Incarnation uint64
	// Sequence numbers the messages of that process about the organisation.
	Sequence uint64
	// Organisation is the name of the organisation.
	Organisation string
	// Admitted counts the requests that the process has admitted without a token.
	Admitted uint64
	// Unconfirmed counts those among them that no answered message has reported.
	Unconfirmed uint64
	// Wanted is how many tokens the node asks for.
	Wanted int
	// Passes counts the nodes that have passed the message on.
	Passes int
}

// Grant is the answer to an Ask, or tells a node that has not asked that requests need tokens.
type Grant struct {
	// Incarnation, Sequence and Organisation are those of the Ask. Sequence is zero if the
	// node has not asked.
	Incarnation  uint64
	Sequence     uint64
	Organisation string
	// Limited is set if further requests need tokens.
	Limited bool
	// Tokens is how many tokens are granted.
	Tokens int
	// AskAgainMillis is how long the node should not ask for more tokens.
	AskAgainMillis int
	// RetryAfterMillis is the time in which the requests that get no tokens now could all
	// be admitted.
	RetryAfterMillis int
}

// Role is the part of a node in the count of an organisation's requests, as it sees it.
type Role struct {
	// Other is set if the node reaches the coordinator.
	Other bool
	// Unsure is set if the node would be the coordinator but for one that it does not reach,
	// and no other node agrees yet that this one is lost.
	Unsure bool
}

// Route is what a node does with an Ask.
type Route uint8

// The routes.
const (
	// Answer means that the node answers as the coordinator.
	Answer Route = iota
	// AnswerShare means that it grants the share of one node.
	AnswerShare
	// PassToCoordinator and PassToRelay mean that it passes the message on, to the
	// coordinator or to the next node in the order.
	PassToCoordinator
	PassToRelay
)

// maxPasses bounds Ask.Passes. The longest way that nodes take who agree on what is lost has
// three: to the node that is not sure, to the next one, and back.
const maxPasses = 3

// RouteOf returns what a node does with an Ask.
func RouteOf(ask *Ask, role Role) Route {
	switch {
	case !role.Other && !role.Unsure:
		return Answer
	case ask.Passes >= maxPasses:
		return AnswerShare
	case role.Other:
		return PassToCoordinator
	}
	return PassToRelay
}

const (
	// ReportInterval is the longest time after which a node reports the requests that it
	// has admitted without a token.
	ReportInterval = 50 * time.Millisecond
	// maxTries is how many messages may stay unanswered before the coordinator counts as out
	// of reach. Each waits twice as long as the one before.
	maxTries = 3
	// firstAnswerTimeout is how long a node waits for its first Grant. Later the time is
	// answerTimeoutFactor times the usual one, within the bounds.
	firstAnswerTimeout  = 80 * time.Millisecond
	minAnswerTimeout    = 40 * time.Millisecond
	maxAnswerTimeout    = 150 * time.Millisecond
	answerTimeoutFactor = 4
	// creditShare is the share of a bucket's capacity that all nodes together may admit
	// before the coordinator confirms the reports of it. Each may admit one request.
	creditShare = 0.25
	// tokenLifetime is how long the token of a request that reached no target may be used
	// for another one.
	tokenLifetime = 250 * time.Millisecond
)
