package soak

import (
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Mode is the fault that a Proxy injects into its connections.
type Mode string

// The modes.
const (
	// ModePass injects no fault.
	ModePass Mode = "pass"
	// ModeDelay delays each chunk by up to maxDelay.
	ModeDelay Mode = "delay"
	// ModeReset resets connections at random.
	ModeReset Mode = "reset"
	// ModeBlackhole forwards nothing in either direction, and closes nothing.
	ModeBlackhole Mode = "silence"
	// ModeBlockUpstream forwards nothing from the client to the server, and
	// ModeBlockDownstream nothing from the server to the client.
	ModeBlockUpstream   Mode = "cut-in"
	ModeBlockDownstream Mode = "cut-out"
	// ModeRefuse resets new connections at once.
	ModeRefuse Mode = "refuse"
	// ModeSever silences the open connections for good, and passes new ones.
	ModeSever Mode = "sever"
)

const (
	// maxDelay is the maximum delay of one chunk.
	maxDelay = 60 * time.Millisecond
	// chunksPerReset is the mean number of chunks before a reset.
	chunksPerReset = 20
	// chunkBytes is the maximum size of a chunk.
	chunkBytes = 4 << 10
)

// Proxy forwards TCP connections to one address, and injects the fault of its
// mode. It is safe for concurrent use.
type Proxy struct {
	address string
	// dial opens the connection to the server.
	dial func(network, address string) (net.Conn, error)

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
	// severings counts how often the open connections were silenced.
	severings int
}

// NewProxy returns a proxy to an address, "IP:port", in ModePass.
func NewProxy(address string) *Proxy {
	return &Proxy{address: address, dial: net.Dial, mode: ModePass, changed: make(chan struct{})}
}

// SetMode changes the mode, also for open connections. It returns an error if the
// mode is unknown.
func (p *Proxy) SetMode(mode Mode) error {
	switch mode {
	case ModePass, ModeDelay, ModeReset, ModeBlackhole, ModeBlockUpstream, ModeBlockDownstream, ModeRefuse, ModeSever:
	default:
		return errors.Errorf("mode %q is unknown", mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	if mode == ModeSever {
		p.mode = ModePass
		p.severings++
	}
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

func (p *Proxy) state() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// severingsSoFar returns how often the open connections were silenced.
func (p *Proxy) severingsSoFar() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.severings
}

// ServeHTTP sets the mode that the path of the request names.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := p.SetMode(Mode(r.URL.Path[1:])); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Serve forwards the connections of the listener until it is closed, and returns
// the error of the listener.
func (p *Proxy) Serve(listener net.Listener) error {
	for {
		in, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go p.forward(in.(*net.TCPConn))
	}
}

func (p *Proxy) forward(in *net.TCPConn) {
	defer in.Close()
	opened := p.severingsSoFar() // a severing during the dial silences this connection too
	if mode, _ := p.state(); mode == ModeRefuse {
		_ = in.SetLinger(0) // the connection is closed either way
		return
	}
	dialed, err := p.dial("tcp4", p.address)
	if err != nil {
		return
	}
	out := dialed.(*net.TCPConn)
	defer out.Close()
	var group sync.WaitGroup
	group.Go(func() { p.forwardOneWay(out, in, ModeBlockUpstream, opened) })
	group.Go(func() { p.forwardOneWay(in, out, ModeBlockDownstream, opened) })
	group.Wait()
}

// forwardOneWay forwards one direction of a connection. The mode block is the one
// that blocks this direction, and opened is the number of severings before the connection
// was opened. Nothing of a severed connection is forwarded, its end neither.
func (p *Proxy) forwardOneWay(to, from *net.TCPConn, block Mode, opened int) {
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		severed := p.severingsSoFar() != opened
		if err != nil && severed {
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite() // an error means that the connection is closed already
			} else {
				_ = to.Close() // as above
			}
			return
		}
		if !p.injectFault(to, from, block) {
			return
		}
		if severed || p.severingsSoFar() != opened {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close() // nothing more can be forwarded
			return
		}
	}
}

// injectFault applies the mode to one chunk: it delays the chunk, waits while its
// direction is blocked, or resets the connection. It returns false if the
// connection was reset.
func (p *Proxy) injectFault(to, from *net.TCPConn, block Mode) bool {
	for {
		mode, changed := p.state()
		switch mode {
		case ModeBlackhole, block:
			<-changed
			continue
		case ModeDelay:
			time.Sleep(rand.N(maxDelay))
		case ModeReset:
			if rand.IntN(chunksPerReset) == 0 {
				for _, c := range []*net.TCPConn{to, from} {
					_ = c.SetLinger(0) // both are closed either way
					_ = c.Close()
				}
				return false
			}
		}
		return true
	}
}
