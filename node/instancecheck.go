package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/httpcheck"
	"verbenatrestle/request"
)

const (
	// maxCheckBytes bounds the answers, with their heads, that checkInstance reads.
	maxCheckBytes = 16 << 10
	// instanceCheckTimeout bounds the wait for the load report of a target, which may lag.
	instanceCheckTimeout = 100 * time.Millisecond
)

// errOtherInstance means that another process listens at the address of the
// announced instance.
var errOtherInstance = errors.New("another instance listens at the address")

// openChecked opens a connection to the announced instance. It returns
// errOtherInstance if the target names another one. Targets that name none, that
// end connections after each answer or whose answer is late can't be checked and are
// accepted.
func (c *targetClient) openChecked(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := c.dialer.DialContext(ctx, network, address)
	if err != nil || c.instance == "" || c.uncheckable.Load() {
		return conn, err
	}
	reusable, err := c.checkInstance(conn, time.Now().Add(c.checkTimeout))
	if err == nil && reusable {
		return conn, nil
	}
	_ = conn.Close()
	if err == nil || isTimeout(err) {
		return c.dialer.DialContext(ctx, network, address)
	}
	if errors.Is(err, errOtherInstance) {
		c.onOtherInstance()
	}
	return nil, errors.Wrap(err, "check instance")
}

func isTimeout(err error) bool {
	var failure net.Error
	return errors.As(err, &failure) && failure.Timeout()
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
	resp, err := readFinalResponse(reader, r)
	if err != nil {
		return false, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil && limited.N > 0 {
		return false, err
	}
	instance := reportedInstance(resp.Header, body)
	if instance != "" && instance != c.instance {
		return false, errors.Wrapf(errOtherInstance, "want %q, got %q", c.instance, instance)
	}
	if instance == "" || resp.Close {
		c.uncheckable.Store(true)
	}
	// Bytes beyond the answer would be taken for the answer to the first request.
	if err != nil || resp.Close || reader.Buffered() > 0 {
		return false, nil
	}
	return true, conn.SetDeadline(time.Time{})
}

// readFinalResponse reads a response and skips the interim ones before it.
func readFinalResponse(reader *bufio.Reader, r *http.Request) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(reader, r)
		if err == nil {
			err = httpcheck.CheckHead(resp)
		}
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// reportedInstance returns the instance that the answer to a load poll names, or "".
func reportedInstance(h http.Header, body []byte) string {
	if instance := h.Get(request.HeaderInstance); instance != "" {
		return instance
	}
	report, _ := parseReport(body)
	return report.Instance
}
