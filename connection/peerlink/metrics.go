package peerlink

import (
	"reflect"
	"sync"

	"github.com/rcrowley/go-metrics"
)

// counters are the metrics of the links.
type counters struct {
	registry         metrics.Registry
	links            metrics.Gauge
	wireIn           metrics.Counter
	wireOut          metrics.Counter
	queueDrops       metrics.Counter
	inboxDrops       metrics.Counter
	dialsFailed      metrics.Counter
	handshakesFailed metrics.Counter
	framesBad        metrics.Counter
	linksSilent      metrics.Counter
	byType           sync.Map
}

// typeCounters count the messages of one type in one direction, and their encoded
// bytes.
type typeCounters struct {
	messages metrics.Counter
	bytes    metrics.Counter
}

func newCounters(registry metrics.Registry) *counters {
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	counter := func(name string) metrics.Counter {
		return metrics.GetOrRegisterCounter("peerlink."+name, registry)
	}
	return &counters{
		registry:         registry,
		links:            metrics.GetOrRegisterGauge("peerlink.links", registry),
		wireIn:           counter("wire.bytes.in"),
		wireOut:          counter("wire.bytes.out"),
		queueDrops:       counter("queue.drops"),
		inboxDrops:       counter("inbox.drops"),
		dialsFailed:      counter("dials.failed"),
		handshakesFailed: counter("handshakes.failed"),
		framesBad:        counter("frames.bad"),
		linksSilent:      counter("links.silent"),
	}
}

// message counts a message with its encoded size in bytes. The direction is "in"
// or "out".
func (c *counters) message(direction string, message any, bytes int) {
	key := direction + "." + reflect.TypeOf(message).Elem().String()
	found, ok := c.byType.Load(key)
	if !ok {
		found, _ = c.byType.LoadOrStore(key, &typeCounters{
			messages: metrics.GetOrRegisterCounter("peerlink.messages."+key, c.registry),
			bytes:    metrics.GetOrRegisterCounter("peerlink.bytes."+key, c.registry),
		})
	}
	counts := found.(*typeCounters)
	counts.messages.Inc(1)
	counts.bytes.Inc(int64(bytes))
}
