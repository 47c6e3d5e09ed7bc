// Package balance picks the node whose target gets the next attempt of a
// request.
//
// A Table holds, for every service, its endpoints: nodes that guard a target
// of the service. Their identity and state come from membership; their load is
// learnt from the load samples on every answer and refusal, and is aged, since
// targets change within milliseconds. The table's picks are opinion: a wrong
// pick costs one hop that the guard refuses. The caller of Pick leaves out the
// endpoints that it has tried already, so a refusal leads to another endpoint
// at once.
//
// An endpoint is left out while membership or its latest sample says that it
// drains, is out, or has no target; while membership suspects its node; and
// while it is ejected. Ejected are targets that their guard reports so, and
// nodes that failed several attempts in a row here, for growing spells. If
// more than half of a service's usable endpoints are ejected, the fault is
// probably not theirs: then ejection is ignored and ejected endpoints count as
// cold. The guard of an ejected target admits no more than its cold limit
// throughout, so what this lets through is a trickle.
//
// Which of the remaining endpoints is picked is up to a Policy. Names lists
// the policies. Default prefers the local data centre while it has room, then
// the region, then the rest, and among those takes the best score of a few
// random choices. Cold endpoints are considered in proportion to what they
// bear.
package balance
