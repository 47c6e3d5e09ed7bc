package node

import (
	"net/http"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a request that crashes each target that runs it", func() {
	It("runs at two targets at most before other nodes learn of a crash", func() {
		for range 20 {
			p := newPath(closeConnection, closeConnection, closeConnection, closeConnection, closeConnection)
			status, _, answer := p.get("/s/x")
			Expect(status).To(Equal(http.StatusBadGateway))
			Expect(answer).To(ContainSubstring("unknown"))
			Expect(p.runs.Load()).To(BeEquivalentTo(2))
		}
	})

	It("is a suspect from the first broken connection on", func() {
		req := &bufferedRequest{}
		run := &dispatchRun{req: req}
		run.markSuspect()
		Expect(run.req.suspect).To(BeFalse())
		run.brokenConnections.Add(1)
		run.markSuspect()
		Expect(run.req.suspect).To(BeTrue())
		Expect(req.suspect).To(BeFalse())
	})
})
