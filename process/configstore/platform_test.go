package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
	"github.com/pkg/errors"

	standin "verbenatrestle/internal/standin/platform"
	"verbenatrestle/internal/testseed"
	"verbenatrestle/process/platform"
	"verbenatrestle/version"
)

func TestSpecs(t *testing.T) {
	testseed.RunSpecs(t, "configstore")
}

// commitUntilKnown commits a change again until it is accepted or refused.
func commitUntilKnown(c *Committer, change version.Change) (CommitResult, error) {
	for {
		accepted, err := c.Commit(context.Background(), change, "asha")
		var unknown *UnknownOutcomeError
		var unavailable *UnavailableError
		if !errors.As(err, &unknown) && !errors.As(err, &unavailable) {
			return accepted, err
		}
	}
}

var _ = ginkgo.Describe("committers over HTTP", func() {
	ginkgo.It("make each change once while operators race and answers are lost", func() {
		const operators, changes = 4, 5
		server := standin.NewServer(standin.Options{})
		listener := httptest.NewServer(server.Handler())
		defer listener.Close()
		newCommitter := func() (*Committer, *Store) {
			store := NewStore()
			return NewCommitter(Config{
				Client: platform.New(platform.Config{BaseURL: listener.URL, Rate: 1000, Burst: 1000}),
				Store:  store, Now: time.Now, Sleep: Sleep,
				NewRand: func() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), 1)) },
			}), store
		}
		first, _ := newCommitter()
		text := configurationText + organisationText(1)
		_, err := commitUntilKnown(first, version.Change{OperationID: "first", Files: []version.File{{Name: "f.yaml", Text: text}}})
		gomega.Expect(err).NotTo(gomega.HaveOccurred())

		lost, stale := 8, 200
		server.Apply(standin.Control{DropResponses: &lost, StaleReadsMs: &stale})
		var running sync.WaitGroup
		for i := range operators {
			committer, store := newCommitter()
			running.Go(func() {
				defer ginkgo.GinkgoRecover()
				for j := range changes {
					id := fmt.Sprintf("op-%d-%d", i, j)
					change := version.Change{OperationID: id, Targets: []version.AdminStateChange{{Name: id, OutOfService: true}}}
					accepted, err := commitUntilKnown(committer, change)
					gomega.Expect(err).NotTo(gomega.HaveOccurred())
					gomega.Expect(store.Version()).To(gomega.BeNumerically(">=", accepted.Entry.Version))
				}
			})
		}
		running.Wait()
		gomega.Expect(server.Stats().DroppedResponses).To(gomega.BeNumerically("==", lost))

		fresh := 0
		server.Apply(standin.Control{StaleReadsMs: &fresh})
		_, last := newCommitter()
		client := platform.New(platform.Config{BaseURL: listener.URL})
		object, err := client.Get(context.Background(), Key)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(last.UpdateIfNewer(time.Now(), object.Value)).To(gomega.BeTrue())
		gomega.Expect(last.Version()).To(gomega.BeNumerically("==", 1+operators*changes))
		gomega.Expect(last.Current().TargetsOut()).To(gomega.HaveLen(operators * changes))
	})
})
