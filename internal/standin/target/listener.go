package target

import (
	"net"
	"sync"
	"time"
)

// listener limits the number of open connections and takes setupTime to accept
// each one. A connection beyond the limit is closed at once.
type listener struct {
	net.Listener
	limit     int
	setupTime time.Duration
	count     func(change func(*Stats))

	mu   sync.Mutex
	open map[*conn]struct{}
}

// conn removes itself from its listener when it is closed.
type conn struct {
	net.Conn
	listener *listener
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		time.Sleep(l.setupTime)
		if c := l.add(accepted); c != nil {
			return c, nil
		}
		_ = accepted.Close()
		l.count(func(s *Stats) { s.RefusedConnections++ })
	}
}

func (l *listener) add(accepted net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.open) >= l.limit {
		return nil
	}
	c := &conn{Conn: accepted, listener: l}
	l.open[c] = struct{}{}
	open := len(l.open)
	l.count(func(s *Stats) { s.PeakConnections = max(s.PeakConnections, open) })
	return c
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.open, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// closeAll closes all connections.
func (l *listener) closeAll() {
	l.mu.Lock()
	open := make([]*conn, 0, len(l.open))
	for c := range l.open {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}
