package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a path or query that reaches the target in other bytes than its caller sent,
// because it was parsed and written anew: a number sign cut off the rest of the query.
var _ = DescribeTable("path and query reach the target as the caller sent them",
	func(sent string) {
		for _, protocol := range []HopProtocol{HopHTTP1, HopHTTP2} {
			for _, route := range []func(*path) string{twoNodes, oneNode} {
				received := make(chan string, 1)
				p := buildPath(func(end func()) { DeferCleanup(end) }, protocol,
					func(_ http.ResponseWriter, r *http.Request) { received <- r.RequestURI })
				Expect(statusOf(route(p), sent)).To(Equal(http.StatusOK))
				Expect(received).To(Receive(Equal(sent)))
			}
		}
	},
	Entry("number sign in the query", "/s/x?n=1#2&m=3"),
	Entry("number sign in the path", "/s/x#y"),
	Entry("characters that are usually encoded", `/s/a|b^c"d?q=|^"`),
	Entry("encoded characters that needn't be", "/s/%61%2fb%7E?q=%61"),
	Entry("bytes beyond ASCII", "/s/é?q=é"),
	Entry("empty query", "/s/x?"),
	Entry("second question mark", "/s/x?a?b"),
	Entry("parameters", "/s/x;a=1?b;c"),
)

// statusOf sends a GET request with the given request target and returns the status.
func statusOf(url, requestTarget string) int {
	conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: org.example\r\n\r\n", requestTarget)
	Expect(err).NotTo(HaveOccurred())
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	Expect(err).NotTo(HaveOccurred())
	Expect(resp.Body.Close()).To(Succeed())
	return resp.StatusCode
}
