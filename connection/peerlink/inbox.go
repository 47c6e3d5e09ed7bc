package peerlink

import "sync"

// event is one call to the handler: a message, or a link up or down.
type event struct {
	up, down bool
	err      error
	data     []byte
	from     *link
}

// inbox keeps the events of one peer in order. A goroutine works it off and
// ends when it is empty, so that a quiet peer costs none.
type inbox struct {
	mu      sync.Mutex
	limits  Limits
	handle  func(event)
	events  []event
	bytes   int
	running bool
}

// push adds an event and reports whether there was room. Link events are
// always taken: there are only a few for each dial.
func (b *inbox) push(e event) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.data != nil && (len(b.events) >= b.limits.InboxMessages || b.bytes+len(e.data) > b.limits.InboxBytes) {
		return false
	}
	b.events = append(b.events, e)
	b.bytes += len(e.data)
	if !b.running {
		b.running = true
		go b.drain()
	}
	return true
}

// drain works the inbox off.
func (b *inbox) drain() {
	for {
		e, ok := b.pop()
		if !ok {
			return
		}
		b.handle(e)
	}
}

// pop takes the oldest event; when there is none, the goroutine must end.
func (b *inbox) pop() (event, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.events) == 0 {
		b.events = nil
		b.running = false
		return event{}, false
	}
	e := b.events[0]
	b.events[0] = event{}
	b.events = b.events[1:]
	b.bytes -= len(e.data)
	return e, true
}

// isIdle reports whether no event waits or is being handled.
func (b *inbox) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.running
}
