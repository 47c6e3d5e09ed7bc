package node

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// checker gathers what is wrong with settings, so that one error names it all.
type checker struct {
	problems []string
}

// require records the fault unless ok.
func (c *checker) require(ok bool, fault string) {
	if !ok {
		c.problems = append(c.problems, fault)
	}
}

// address wants an IP number and a port.
func (c *checker) address(name, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, name+": must be an IP number and port, such as 127.0.0.1:7000")
}

// url wants an http URL with a host by IP number.
func (c *checker) url(name, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https")
	if ok {
		_, err = netip.ParseAddr(u.Hostname())
		ok = err == nil
	}
	c.require(ok, name+": must be an http URL with an IP number, such as http://127.0.0.1:9000")
}

// share wants a number from 0 to 1.
func (c *checker) share(name string, value float64) {
	c.require(value >= 0 && value <= 1, name+": must be from 0 to 1")
}

// err returns all faults as one error, or nil.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(c.problems, "; "))
}
