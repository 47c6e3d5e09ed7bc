package target

import (
	"cmp"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Default values of Options fields.
const (
	DefaultSlots               = 20
	DefaultMaxConnections      = 250
	DefaultColdLimit           = 4
	DefaultServiceTime         = 5 * time.Millisecond
	DefaultWarmupResponses     = 100
	DefaultStallTime           = 2 * time.Second
	DefaultColdGrace           = 250 * time.Millisecond
	DefaultColdFactor          = 2
	DefaultConnectionSetupTime = time.Millisecond
	DefaultDrainTimeout        = 30 * time.Second
)

// Options configures a target. Zero values stand for the defaults.
type Options struct {
	// Organisation and Service are the names of the organisation and the service
	// that the target belongs to.
	Organisation string
	Service      string
	// Address is the address to listen on, "IP:port". Port 0 means any free port.
	Address string
	// AnnounceURL is the base URL of the node's announce listener. Empty means
	// that the target does not announce itself.
	AnnounceURL string
	// Instance is the ID of this instance of the target. The default is a new
	// UUID.
	Instance string
	// Slots is the number of requests that a warm target runs at once.
	Slots int
	// QueueLength is the maximum number of requests that wait for a slot. Zero
	// means four times the slots, a negative value means none.
	QueueLength int
	// MaxConnections is the maximum number of open connections.
	MaxConnections int
	// ColdLimit is the number of requests that a cold target can run at once.
	ColdLimit int
	// WarmupResponses is the number of responses after which a cold target is
	// warm.
	WarmupResponses int
	// StartWarm makes the target warm from the start.
	StartWarm bool
	// ColdFactor multiplies the service time of a cold target.
	ColdFactor float64
	// ColdGrace is the time during which a target that Control made cold sheds
	// excess requests instead of collapsing.
	ColdGrace time.Duration
	// StallTime is the time for which a collapsed target stalls.
	StallTime time.Duration
	// ServiceTime is the mean service time. Half of it is constant, the other
	// half is exponentially distributed.
	ServiceTime time.Duration
	// ConnectionSetupTime is the time for which accepting a connection blocks the
	// listener.
	ConnectionSetupTime time.Duration
	// LoadReportLag is the period at which the response of /load is updated. Zero
	// means that it is always current.
	LoadReportLag time.Duration
	// Seed is the seed of the service times.
	Seed uint64
	// CollectorURL is the URL to which each run is posted before its work begins.
	// Empty means none.
	CollectorURL string
	// OracleAddress is the UDP address, "IP:port", to which the target reports its
	// true load under NodeName. Empty means none.
	OracleAddress string
	// NodeName is the name of the node beside the target. Only the oracle uses it.
	NodeName string
	// DrainTimeout limits the wait until the node has drained the target.
	DrainTimeout time.Duration
	// OnCrash is called to make the target crash. By default the target closes
	// all connections and starts a new, cold instance in the same process.
	OnCrash func()
	// Logger receives the log of the target. Nil discards it.
	Logger log.Logger
}

func (o *Options) complete() {
	o.Instance = cmp.Or(o.Instance, uuid.NewString())
	o.Slots = cmp.Or(o.Slots, DefaultSlots)
	o.QueueLength = cmp.Or(o.QueueLength, 4*o.Slots)
	o.MaxConnections = cmp.Or(o.MaxConnections, DefaultMaxConnections)
	o.ColdLimit = cmp.Or(o.ColdLimit, min(DefaultColdLimit, o.Slots))
	o.WarmupResponses = cmp.Or(o.WarmupResponses, DefaultWarmupResponses)
	o.ColdFactor = cmp.Or(o.ColdFactor, DefaultColdFactor)
	o.ColdGrace = cmp.Or(o.ColdGrace, DefaultColdGrace)
	o.StallTime = cmp.Or(o.StallTime, DefaultStallTime)
	o.ServiceTime = cmp.Or(o.ServiceTime, DefaultServiceTime)
	o.ConnectionSetupTime = cmp.Or(o.ConnectionSetupTime, DefaultConnectionSetupTime)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, DefaultDrainTimeout)
	o.QueueLength = max(o.QueueLength, 0)
	if o.Logger == nil {
		o.Logger = log.NewNopLogger()
	}
}

func (o *Options) check() error {
	if o.Slots < 1 || o.MaxConnections < 1 || o.ColdLimit < 1 || o.ColdLimit > o.Slots {
		return errors.Errorf("target options: invalid combination of slots %d, connections %d, cold limit %d",
			o.Slots, o.MaxConnections, o.ColdLimit)
	}
	if o.WarmupResponses < 1 || o.ColdFactor < 1 || o.ServiceTime < 0 {
		return errors.Errorf("target options: warm answers %d, cold factor %g or service time %s out of range",
			o.WarmupResponses, o.ColdFactor, o.ServiceTime)
	}
	return nil
}
