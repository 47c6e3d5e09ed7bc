package node

import (
	"net/netip"
	"net/url"
	"strings"

	"github.com/pkg/errors"
)

// checker collects the problems of settings, so that one error names them all.
type checker struct {
	problems []string
}

// require records the problem unless ok.
func (c *checker) require(ok bool, problem string) {
	if !ok {
		c.problems = append(c.problems, problem)
	}
}

// address requires an IP address and a port.
func (c *checker) address(name, value string) {
	_, err := netip.ParseAddrPort(value)
	c.require(err == nil, name+": must be an IP address and port, such as 127.0.0.1:7000")
}

// url requires an http or https URL whose host is an IP address.
func (c *checker) url(name, value string) {
	u, err := url.Parse(value)
	ok := err == nil && (u.Scheme == "http" || u.Scheme == "https")
	if ok {
		_, err = netip.ParseAddr(u.Hostname())
		ok = err == nil
	}
	c.require(ok, name+": must be an http URL with an IP address, such as http://127.0.0.1:9000")
}

// share requires a number from 0 to 1.
func (c *checker) share(name string, value float64) {
	c.require(value >= 0 && value <= 1, name+": must be from 0 to 1")
}

// err returns one error with all problems, or nil if there are none.
func (c *checker) err() error {
	if len(c.problems) == 0 {
		return nil
	}
	return errors.New(strings.Join(c.problems, "; "))
}
