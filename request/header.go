package request

// Names of the HTTP headers that callers, nodes and targets exchange.
const (
	// HeaderIdempotencyKey identifies a non-idempotent operation, so that it
	// runs only once however often it is sent. The caller sets it.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderTimeout is the time remaining for the request in whole
	// milliseconds. Each hop forwards a smaller value than it received.
	HeaderTimeout = "Vt-Timeout-Ms"
	// HeaderRequestID identifies the request on one hop. The response repeats it.
	HeaderRequestID = "Vt-Request-Id"
	// HeaderOutcome is the Outcome of a request that was not answered by a target.
	HeaderOutcome = "Vt-Outcome"
	// HeaderLoad carries a load.Sample from the node beside the target.
	HeaderLoad = "Vt-Load"
	// HeaderService is the version.ServiceID that a request between nodes calls.
	HeaderService = "Vt-Service"
	// HeaderCaller is the version.ServiceID of the calling service. A target at
	// its limit is shared fairly between calling services.
	HeaderCaller = "Vt-Caller"
	// HeaderRoute is the name of the route that a request between nodes matched.
	HeaderRoute = "Vt-Route"
	// HeaderHop is the role of the receiving node: HopGuard or HopOwner.
	HeaderHop = "Vt-Hop"
	// HeaderExpiry is the wall-clock time in Unix milliseconds after which a
	// request must not reach the target. It is for requests whose idempotency
	// key contains no timestamp.
	HeaderExpiry = "Vt-Expiry-Ms"
	// HeaderSuspect marks a request that was in flight when a target crashed.
	HeaderSuspect = "Vt-Suspect"
	// HeaderInstance identifies the running instance of a target process. A
	// changed value means that the target was restarted and is cold.
	HeaderInstance = "Vt-Instance"
)

// Values of HeaderHop.
const (
	// HopGuard means that the receiving node sends the request to its local
	// target, the one beside it.
	HopGuard = "guard"
	// HopOwner means that the receiving node claims the idempotency key and runs
	// the request.
	HopOwner = "owner"
)
