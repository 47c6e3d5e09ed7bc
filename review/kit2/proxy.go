//go:build review

package main

import (
	"net"
	"time"
)

// startDelay forwards connections to an address and delays the bytes of each direction, as a
// link does. It returns its address.
func (e *env) startDelay(to string, delay time.Duration) string {
	l, err := net.Listen("tcp4", e.freeAddresses(1)[0])
	check(err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				up, err := net.Dial("tcp4", to)
				if err != nil {
					_ = c.Close()
					return
				}
				go forwardLate(up, c, delay)
				forwardLate(c, up, delay)
			}()
		}
	}()
	return l.Addr().String()
}

// forwardLate copies bytes, and the end of the connection, each with the delay.
func forwardLate(to, from net.Conn, delay time.Duration) {
	type chunk struct {
		at   time.Time
		data []byte
	}
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buffer := make([]byte, 32<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				chunks <- chunk{at: time.Now().Add(delay), data: buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		time.Sleep(time.Until(c.at))
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	time.Sleep(delay)
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
	for range chunks { // until the reader ends
	}
}
