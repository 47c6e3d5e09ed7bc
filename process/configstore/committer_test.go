package configstore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"verbenatrestle/version"
)

const configurationText = `kind: template
name: small
parameters:
  slots: {type: integer, default: 20, max: 50}
body:
  hosts: [club.example]
  data_centres: [a, b]
  services:
    - name: entries
      path_prefix: /
      target: {slots: "${slots}"}
      routes: [{name: read, methods: [GET], path_prefix: /, idempotent: true}]
---
`

func organisationText(slots int) string {
	return fmt.Sprintf("kind: organisation\nname: club\ntemplate: small\nvalues: {slots: %d}\n", slots)
}

// Outcomes of an operation, as far as its operator can know.
const (
	outcomeUnknown  = "unknown outcome"
	outcomeAccepted = "accepted"
	outcomeRefused  = "refused"
)

// simulation simulates a platform, two nodes, and operators whose commits race.
type simulation struct {
	t               *rapid.T
	platform        *fakePlatform
	committers      []*Committer
	stores          []*Store
	highestVersions []uint64
	clock           time.Time
	operations      int
	depth           int
	outcomes        map[string]string
	changes         map[string]version.Change
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:        t,
		platform: &fakePlatform{t: t},
		clock:    time.Unix(1000, 0),
		outcomes: make(map[string]string),
		changes:  make(map[string]version.Change),
	}
	s.platform.race = s.race
	for range 2 {
		store := NewStore()
		s.stores = append(s.stores, store)
		s.highestVersions = append(s.highestVersions, 0)
		s.committers = append(s.committers, NewCommitter(Config{
			Client:      s.platform,
			Store:       store,
			Now:         func() time.Time { return s.clock },
			Sleep:       func(context.Context, time.Duration) error { return nil },
			NewRand:     func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
			MaxAttempts: 4,
		}))
	}
	return s
}

// race sometimes commits a change of another operator during a call.
func (s *simulation) race() {
	const maxDepth = 3
	if s.depth < maxDepth && rapid.IntRange(0, 9).Draw(s.t, "race") == 9 {
		s.commitDrawn()
	}
}

// commitDrawn commits a drawn change, from one to three times in all, as an
// operator who repeats it does.
func (s *simulation) commitDrawn() {
	s.depth++
	defer func() { s.depth-- }()
	s.operations++
	change := s.drawChange(fmt.Sprintf("op-%d", s.operations))
	s.changes[change.OperationID] = change
	for range rapid.IntRange(1, 3).Draw(s.t, "sends") {
		s.send(change)
	}
}

func (s *simulation) drawChange(id string) version.Change {
	change := version.Change{OperationID: id}
	switch rapid.IntRange(0, 3).Draw(s.t, "what") {
	case 0:
		site := rapid.SampledFrom([]string{"a", "b"}).Draw(s.t, "site")
		change.DataCentres = []version.AdminStateChange{{Name: site, OutOfService: rapid.Bool().Draw(s.t, "out")}}
	case 1:
		change.Targets = []version.AdminStateChange{{Name: "n-" + id, OutOfService: true}}
	case 2:
		text := organisationText(rapid.IntRange(40, 60).Draw(s.t, "slots"))
		change.Files = []version.File{{Name: "f.yaml", Text: text}}
	case 3:
		change.Files = []version.File{{Name: "f.yaml", Text: configurationText + organisationText(1)}}
		change.Base = uint64(rapid.IntRange(0, 5).Draw(s.t, "base"))
	}
	return change
}

// send commits a change once and records the outcome. After an unknown outcome,
// a refusal doesn't prove that the change has not taken effect.
func (s *simulation) send(change version.Change) {
	node := rapid.IntRange(0, len(s.committers)-1).Draw(s.t, "node")
	result, err := s.committers[node].Commit(context.Background(), change, "asha")
	s.checkStores()
	before := s.outcomes[change.OperationID]
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		s.outcomes[change.OperationID] = outcomeAccepted
		if s.stores[node].Version() < result.Entry.Version || result.Entry.OperationID != change.OperationID {
			s.t.Fatalf("accepted %+v, active version %d", result.Entry, s.stores[node].Version())
		}
	case before != "" && before != outcomeRefused:
	case errors.As(err, &unknown):
		s.outcomes[change.OperationID] = outcomeUnknown
	default:
		s.outcomes[change.OperationID] = outcomeRefused
	}
}

// checkStores checks that no node went back to a lower version.
func (s *simulation) checkStores() {
	for i, store := range s.stores {
		if store.Version() < s.highestVersions[i] {
			s.t.Fatalf("node %d went back from %d to %d", i, s.highestVersions[i], store.Version())
		}
		s.highestVersions[i] = store.Version()
	}
}

// updateWithOld updates a node with any document that the platform ever held, as
// a stalled watch or a peer that lags does.
func (s *simulation) updateWithOld() {
	if len(s.platform.values) == 0 {
		return
	}
	data := rapid.SampledFrom(s.platform.values).Draw(s.t, "document")
	i := rapid.IntRange(0, len(s.stores)-1).Draw(s.t, "node")
	before := s.stores[i].Version()
	changed, err := s.stores[i].UpdateIfNewer(s.clock, data)
	if err != nil || changed != (s.stores[i].Version() > before) {
		s.t.Fatalf("update: changed %v, from %d to %d: %v", changed, before, s.stores[i].Version(), err)
	}
	s.checkStores()
}

// checkHistory checks the recorded outcomes against all documents that the
// platform ever held: an accepted change is in the history once, a refused one
// not at all, and none is there twice.
func (s *simulation) checkHistory() {
	counts := make(map[string]int)
	var doc version.Document
	for i, value := range s.platform.values {
		next, err := version.Decode(value)
		if err != nil || next.Version != uint64(i)+1 {
			s.t.Fatalf("write %d holds version %d: %v", i+1, next.Version, err)
		}
		s.checkSingleChange(doc, next)
		doc = next
	}
	for _, entry := range doc.History {
		counts[entry.OperationID]++
	}
	for id, outcome := range s.outcomes {
		n := counts[id]
		if n > 1 || (outcome == outcomeAccepted && n != 1) || (outcome == outcomeRefused && n != 0) {
			s.t.Fatalf("%s is %s and is %d times in the history", id, outcome, n)
		}
	}
}

// checkSingleChange checks that next is doc with exactly one whole change.
func (s *simulation) checkSingleChange(doc, next version.Document) {
	change := s.changes[next.OperationID]
	want, err := version.Apply(doc, change, s.clock, "asha")
	want.Format = next.Format
	if err != nil || !reflect.DeepEqual(want, next) {
		s.t.Fatalf("version %d is not %+v applied to %d: %v", next.Version, change, doc.Version, err)
	}
}

// TestCommitOnceOrNotAtAll guards against a change that takes effect twice, an
// accepted change that is missing from the history, and a refused one that is in
// it. These could come about through outages, stale reads, lost responses, writes
// that take effect late, and concurrent commits.
func TestCommitOnceOrNotAtAll(t *testing.T) {
	counts := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			s.commitDrawn()
			s.updateWithOld()
		}
		s.platform.healthy = true
		s.platform.applyDelayed()
		s.checkHistory()
		for _, outcome := range s.outcomes {
			counts[outcome]++
		}
		// Once the platform has no more faults, sending the changes with unknown
		// outcomes again must not add any of them twice.
		for id, outcome := range s.outcomes {
			if outcome == outcomeUnknown {
				s.send(s.changes[id])
				if s.outcomes[id] == outcomeUnknown {
					t.Fatalf("change %s still has an unknown outcome though the platform has no faults", id)
				}
			}
		}
		s.checkHistory()
	})
	t.Logf("outcomes: %v", counts)
	if counts[outcomeAccepted] == 0 || counts[outcomeRefused] == 0 || counts[outcomeUnknown] == 0 {
		t.Errorf("the histories do not reach every outcome: %v", counts)
	}
}

// TestConcurrentCommits checks that concurrent changes of different things both take
// effect, and that of two changes of the same thing the later one is refused with
// an error that names the earlier one.
func TestConcurrentCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		s.platform.healthy = true
		first := version.Change{OperationID: "first", Files: []version.File{{Name: "f.yaml", Text: configurationText + organisationText(1)}}}
		if _, err := s.committers[0].Commit(context.Background(), first, "asha"); err != nil {
			t.Fatal(err)
		}
		mine := version.Change{OperationID: "mine", DataCentres: []version.AdminStateChange{{Name: "a", OutOfService: true}}}
		theirs := version.Change{OperationID: "theirs", DataCentres: []version.AdminStateChange{{Name: "b", OutOfService: true}}}
		same := rapid.Bool().Draw(t, "same")
		if same {
			mine.DataCentres, mine.Files = nil, []version.File{{Name: "f.yaml", Text: organisationText(2)}}
			theirs.DataCentres, theirs.Files = nil, []version.File{{Name: "f.yaml", Text: organisationText(3)}}
		}
		racing := &racingClient{fakePlatform: s.platform, beforePut: func() {
			if _, err := s.committers[1].Commit(context.Background(), theirs, "binu"); err != nil {
				t.Fatal(err)
			}
		}}
		s.committers[0].config.Client = racing
		_, err := s.committers[0].Commit(context.Background(), mine, "asha")
		var conflict *version.ConflictError
		if same != errors.As(err, &conflict) {
			t.Fatalf("same thing %v: %v", same, err)
		}
		if same && (len(conflict.ChangesSince) != 1 || conflict.ChangesSince[0].Actor != "binu" || conflict.Resources[0] != "organisation club") {
			t.Fatalf("got %+v", conflict)
		}
		if !same && len(s.stores[0].Current().DataCentresOut()) != 2 {
			t.Fatalf("data centres out of service: %v", s.stores[0].Current().DataCentresOut())
		}
	})
}

// racingClient calls beforePut before its first write.
type racingClient struct {
	*fakePlatform
	beforePut func()
}

func (c *racingClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if race := c.beforePut; race != nil {
		c.beforePut = nil
		race()
	}
	return c.fakePlatform.Put(ctx, key, value, ifVersion)
}
