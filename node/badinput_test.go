package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"verbenatrestle/request"
)

var _ = Describe("bad input", func() {
	DescribeTable("is answered as not run, with a clear error",
		func(method, target, body string, header map[string]string, status int, title string) {
			p := newPath(echo)
			got, h, answer := p.call(method, target, body, header)
			Expect(got).To(Equal(status))
			Expect(h.Get(request.HeaderOutcome)).To(Equal(string(request.NotRun)))
			Expect(answer).To(ContainSubstring(title))
			Expect(p.runs.Load()).To(BeZero())
		},
		Entry("unknown service", "GET", "/other/x", "", nil, 404, "no route"),
		Entry("wrong method", "DELETE", "/s/x", "", nil, 405, "no route"),
		Entry("no key", "POST", "/s/entries", "x", nil, 400, "no idempotency key"),
		Entry("bad timeout", "GET", "/s/x", "", map[string]string{request.HeaderTimeout: "soon"}, 400, "bad timeout"),
		Entry("large body", "POST", "/s/entries", strings.Repeat("x", 2000),
			map[string]string{request.HeaderIdempotencyKey: "k"}, 413, "body too large"),
	)

	It("is a host that no organisation has", func() {
		p := newPath(echo)
		resp, err := http.Get(p.caller.URL + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusMisdirectedRequest))
	})

	It("is a body that ends early", func() {
		p := newPath(echo)
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.caller.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		fmt.Fprintf(conn, "POST /s/entries HTTP/1.1\r\nHost: org.example\r\n%s: k\r\nContent-Length: 50\r\n\r\nhalf", request.HeaderIdempotencyKey)
		Expect(conn.(*net.TCPConn).CloseWrite()).To(Succeed())
		answer, err := io.ReadAll(conn)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(answer)).To(ContainSubstring("body broke off"))
		Expect(p.runs.Load()).To(BeZero())
	})

	It("is a hop without the peer key", func() {
		p := newPath(echo)
		hop := httptest.NewServer(&hopServer{self: "n0", peerKey: testPeerKey, snapshot: p.ingress.snapshot, target: p.proxies["n0"]})
		defer hop.Close()
		resp, err := http.Get(hop.URL + "/s/x")
		Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(p.runs.Load()).To(BeZero())
	})
})
