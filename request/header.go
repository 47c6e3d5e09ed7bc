package request

// Names of the HTTP headers that callers, nodes and targets exchange.
const (
	// HeaderIdempotencyKey names a non-idempotent operation. Set by the caller.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time left for the request in whole milliseconds.
	// Each hop sends on less than it received.
	HeaderTimeout = "Vt-Timeout-Ms"
	// HeaderRequestID identifies the request on a hop. The answer repeats it.
	HeaderRequestID = "Vt-Request-Id"
	// HeaderOutcome is the Outcome of a request that has no answer of a target.
	HeaderOutcome = "Vt-Outcome"
	// HeaderLoad carries a load.Sample from the node beside the target.
	HeaderLoad = "Vt-Load"
	// HeaderService is the version.ServiceID that a hop between nodes is for.
	HeaderService = "Vt-Service"
	// HeaderCaller is the version.ServiceID whose share of a full target a hop
	// between nodes uses.
	HeaderCaller = "Vt-Caller"
	// HeaderRoute is the name of the route that a hop between nodes is for.
	HeaderRoute = "Vt-Route"
	// HeaderHop tells the receiving node its role: HopGuard or HopOwner.
	HeaderHop = "Vt-Hop"
	// HeaderExpiry is the wall-clock time in Unix milliseconds after which an
	// order with an undated key must not reach the target.
	HeaderExpiry = "Vt-Expiry-Ms"
	// HeaderSuspect marks a request that was in flight when a target crashed.
	HeaderSuspect = "Vt-Suspect"
	// HeaderInstance identifies the life of a target process. A change of its
	// value tells that the target was restarted and is cold.
	HeaderInstance = "Vt-Instance"
)

// Values of HeaderHop.
const (
	// HopGuard sends the request to the target beside the receiving node.
	HopGuard = "guard"
	// HopOwner asks the receiving node to claim the request's key and run it.
	HopOwner = "owner"
)
