package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
)

// maxCheckBytes bounds the answer, with its head, that checkInstance reads.
const maxCheckBytes = 16 << 10

// errOtherInstance means that another process listens at the address of the
// announced instance.
var errOtherInstance = errors.New("another instance listens at the address")

// openChecked opens a connection to the announced instance. It returns
// errOtherInstance if the target names another one. Targets that name none, or
// that end connections after each answer, can't be checked and are accepted.
func (c *targetClient) openChecked(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil || c.instance == "" {
		return conn, err
	}
	deadline, _ := ctx.Deadline()
	reusable, err := c.checkInstance(conn, deadline)
	if err == nil && reusable {
		return conn, nil
	}
	_ = conn.Close()
	if errors.Is(err, errOtherInstance) {
		c.onOtherInstance()
	}
	if err != nil {
		return nil, errors.Wrap(err, "check instance")
	}
	return c.dialer.DialContext(ctx, network, address)
}

// checkInstance requests the load report on a new connection, which belongs to one
// process as long as it is open, and compares the instance in it. It reports whether
// the connection may be used for requests.
func (c *targetClient) checkInstance(conn net.Conn, deadline time.Time) (reusable bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	r, err := http.NewRequest(http.MethodGet, c.base+"/load", nil)
	if err != nil {
		return false, err
	}
	if err := r.Write(conn); err != nil {
		return false, err
	}
	limited := &io.LimitedReader{R: conn, N: maxCheckBytes}
	reader := bufio.NewReader(limited)
	resp, err := http.ReadResponse(reader, r)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil && limited.N > 0 {
		return false, err
	}
	if instance := reportedInstance(resp.Header, body); instance != "" && instance != c.instance {
		return false, errors.Wrapf(errOtherInstance, "want %q, got %q", c.instance, instance)
	}
	// Bytes beyond the answer would be taken for the answer to the first request.
	if err != nil || resp.Close || reader.Buffered() > 0 {
		return false, nil
	}
	return true, conn.SetDeadline(time.Time{})
}

// reportedInstance returns the instance that the answer to a load poll names, or "".
func reportedInstance(h http.Header, body []byte) string {
	if instance := h.Get(request.HeaderInstance); instance != "" {
		return instance
	}
	report, _ := parseReport(body)
	return report.Instance
}
