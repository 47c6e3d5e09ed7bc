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

// Mode is what a Proxy does to its connections.
type Mode string

// The modes.
const (
	// ModePass passes everything on.
	ModePass Mode = "pass"
	// ModeDelay holds each piece for up to maxDelay.
	ModeDelay Mode = "delay"
	// ModeReset resets connections now and then.
	ModeReset Mode = "reset"
	// ModeBlackhole passes nothing, neither way, and closes nothing.
	ModeBlackhole Mode = "silence"
	// ModeBlockUpstream and ModeCutOut pass one way only.
	ModeBlockUpstream   Mode = "cut-in"
	ModeBlockDownstream Mode = "cut-out"
	// ModeRefuse closes new connections at once.
	ModeRefuse Mode = "refuse"
)

const (
	// maxDelay bounds the delay of one piece.
	maxDelay = 60 * time.Millisecond
	// resetOneIn is how many pieces go by for each reset.
	resetOneIn = 20
	// pieceBytes is the size of a piece.
	pieceBytes = 4 << 10
)

// Proxy passes connections on to one address, and harms them by its mode.
type Proxy struct {
	to string

	mu      sync.Mutex
	mode    Mode
	changed chan struct{}
}

// NewProxy returns a proxy that passes everything on.
func NewProxy(to string) *Proxy {
	return &Proxy{to: to, mode: ModePass, changed: make(chan struct{})}
}

// SetMode changes what the proxy does, to open connections too.
func (p *Proxy) SetMode(mode Mode) error {
	switch mode {
	case ModePass, ModeDelay, ModeReset, ModeBlackhole, ModeBlockUpstream, ModeBlockDownstream, ModeRefuse:
	default:
		return errors.Errorf("mode %q is unknown", mode)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
	return nil
}

func (p *Proxy) state() (Mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.changed
}

// ServeHTTP takes the mode as the path of a request.
func (p *Proxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if err := p.SetMode(Mode(r.URL.Path[1:])); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
	}
}

// Serve passes connections of the listener on until it is closed.
func (p *Proxy) Serve(listener net.Listener) error {
	for {
		in, err := listener.Accept()
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go p.pass(in.(*net.TCPConn))
	}
}

func (p *Proxy) pass(in *net.TCPConn) {
	defer in.Close()
	if mode, _ := p.state(); mode == ModeRefuse {
		_ = in.SetLinger(0) // the connection is closed either way
		return
	}
	dialed, err := net.Dial("tcp4", p.to)
	if err != nil {
		return
	}
	out := dialed.(*net.TCPConn)
	defer out.Close()
	var group sync.WaitGroup
	group.Go(func() { p.copy(out, in, ModeBlockUpstream) })
	group.Go(func() { p.copy(in, out, ModeBlockDownstream) })
	group.Wait()
}

// copy passes one way on, unless the mode is silence or cut.
func (p *Proxy) copy(to, from *net.TCPConn, cut Mode) {
	buffer := make([]byte, pieceBytes)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite() // the other side is gone if this fails
			} else {
				_ = to.Close() // as above
			}
			return
		}
		if !p.harm(to, from, cut) {
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close() // nothing more can be passed on
			return
		}
	}
}

// harm does to one piece what the mode says. It returns false if the
// connection is over.
func (p *Proxy) harm(to, from *net.TCPConn, cut Mode) bool {
	for {
		mode, changed := p.state()
		switch mode {
		case ModeBlackhole, cut:
			<-changed
			continue
		case ModeDelay:
			time.Sleep(rand.N(maxDelay))
		case ModeReset:
			if rand.IntN(resetOneIn) == 0 {
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
