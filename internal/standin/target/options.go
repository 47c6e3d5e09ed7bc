package target

import (
	"cmp"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"github.com/pkg/errors"
)

// Defaults of Options.
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

// Options describe a target. Zero values mean the defaults.
type Options struct {
	// Organisation and Service name what the target serves.
	Organisation string
	Service      string
	// Address is "IP:port" to listen on. Port 0 takes any free port.
	Address string
	// AnnounceURL is the base URL of the node's announce listener. Empty means
	// that the target announces itself to nobody.
	AnnounceURL string
	// Instance names this life of the target. The default is a new UUID.
	Instance string
	// Slots is how many requests a warm target runs at once.
	Slots int
	// QueueLength is how many more wait for a slot. Zero means four times the slots,
	// less than zero means none.
	QueueLength int
	// MaxConnections bounds the open connections.
	MaxConnections int
	// ColdLimit is how many requests a cold target bears at once.
	ColdLimit int
	// WarmupResponses is how many answers warm the target up.
	WarmupResponses int
	// StartWarm makes the target start warm.
	StartWarm bool
	// ColdFactor is how many times longer a cold target works.
	ColdFactor float64
	// ColdGrace is how long a target that turns cold by Control sheds what it
	// does not bear, before it falls over from it.
	ColdGrace time.Duration
	// StallTime is how long a target that fell over stays so.
	StallTime time.Duration
	// ServiceTime is the mean service time: half of it is constant, and the rest
	// has an exponential distribution.
	ServiceTime time.Duration
	// ConnectionSetupTime is how long the opening of a connection keeps the target busy.
	ConnectionSetupTime time.Duration
	// LoadReportLag is how old the answers of /load are. Zero means not at all.
	LoadReportLag time.Duration
	// Seed seeds the service times.
	Seed uint64
	// CollectorURL is the URL that each run is posted to before the work begins.
	// Empty means none.
	CollectorURL string
	// OracleAddress is the "IP:port" to report the true load to by UDP, under the name
	// Node. Empty means none.
	OracleAddress string
	// NodeName is the name of the node beside the target.
	NodeName string
	// DrainTimeout bounds the wait for the node to tell that a drain is over.
	DrainTimeout time.Duration
	// OnCrash is called when the target is to crash. The default cuts all
	// connections and starts a new, cold instance in the same process.
	OnCrash func()
	// Logger receives what the target does. Nil means none.
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
		return errors.Errorf("target options: slots %d, connections %d, cold limit %d do not fit",
			o.Slots, o.MaxConnections, o.ColdLimit)
	}
	if o.WarmupResponses < 1 || o.ColdFactor < 1 || o.ServiceTime < 0 {
		return errors.Errorf("target options: warm answers %d, cold factor %g, service time %s do not fit",
			o.WarmupResponses, o.ColdFactor, o.ServiceTime)
	}
	return nil
}
