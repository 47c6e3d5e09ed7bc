package peerlink

import "sync"

// event is a pending call to the handler: a received message, or a link that is
// up or down.
type event struct {
	up, down bool
	err      error
	data     []byte
	from     *link
}

// inbox queues the events of one peer in order. A goroutine handles them and ends
// when the queue is empty, so that a peer without events needs none.
type inbox struct {
	mu     sync.Mutex
	limits Limits
	handle func(event)
	events []event
	// messages and bytes are the number and the size of the messages among the events.
	messages int
	bytes    int
	running  bool
}

// push adds an event, and reports whether it was within the limits. The limits
// apply only to messages, since each dial causes only a few link events.
func (b *inbox) push(e event) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.data != nil {
		if b.messages >= b.limits.InboxMessages || b.bytes+len(e.data) > b.limits.InboxBytes {
			return false
		}
		b.messages++
		b.bytes += len(e.data)
	}
	b.events = append(b.events, e)
	if !b.running {
		b.running = true
		go b.drain()
	}
	return true
}

// drain handles events until the inbox is empty.
func (b *inbox) drain() {
	for {
		e, ok := b.pop()
		if !ok {
			return
		}
		b.handle(e)
	}
}

// pop removes and returns the oldest event. If there is none, it returns false,
// and the calling goroutine must end.
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
	if e.data != nil {
		b.messages--
		b.bytes -= len(e.data)
	}
	return e, true
}

// isIdle reports whether no event is queued or being handled.
func (b *inbox) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return !b.running
}
