package node

import (
	"io"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// benchmarkBody and benchmarkAnswer are the sizes of the request and response
// bodies, in bytes.
const (
	benchmarkBody   = 600
	benchmarkAnswer = 2048
)

// BenchmarkPath measures sequential requests to a target that does no work:
// directly, and through one and two nodes.
func BenchmarkPath(b *testing.B) {
	for _, c := range []struct {
		name     string
		protocol HopProtocol
		url      func(p *path) string
	}{
		{"direct", HopHTTP1, func(p *path) string { return p.proxies["n0"].client.Load().base }},
		{"one-node", HopHTTP1, oneNode},
		{"two-nodes-http1", HopHTTP1, twoNodes},
		{"two-nodes-h2c", HopHTTP2, twoNodes},
	} {
		b.Run(c.name, func(b *testing.B) {
			RegisterTestingT(b)
			p := buildPath(b.Cleanup, c.protocol, answerBytes)
			runPath(b, c.url(p))
		})
	}
}

func answerBytes(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = w.Write(make([]byte, benchmarkAnswer))
}

// oneNode makes the ingress the node beside the target, so that there is no hop.
func oneNode(p *path) string {
	router := p.dispatch.targets.(*targetRouter)
	router.self = "n0"
	router.local = p.proxies["n0"]
	return p.caller.URL
}

func twoNodes(p *path) string { return p.caller.URL }

// runPath sends non-idempotent requests to the URL, one after the other.
func runPath(b *testing.B, url string) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	body := strings.Repeat("x", benchmarkBody)
	b.ReportAllocs()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, url+"/s/entries", strings.NewReader(body))
		if err != nil {
			b.Fatal(err)
		}
		r.Host = "org.example"
		r.Header.Set("Idempotency-Key", "0193a0f0-0000-7000-8000-000000000000")
		resp, err := client.Do(r)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}
