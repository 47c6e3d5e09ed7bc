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

// Fates of an operation.
const (
	unsure   = "unsure"
	accepted = "accepted"
	refused  = "refused"
)

// world is a platform, two nodes, and operators who race.
type world struct {
	t          *rapid.T
	platform   *fakePlatform
	committers []*Committer
	stores     []*Store
	highest    []uint64
	clock      time.Time
	operations int
	depth      int
	fates      map[string]string
	changes    map[string]version.Change
}

func newWorld(t *rapid.T) *world {
	w := &world{
		t:        t,
		platform: &fakePlatform{t: t},
		clock:    time.Unix(1000, 0),
		fates:    make(map[string]string),
		changes:  make(map[string]version.Change),
	}
	w.platform.between = w.between
	for range 2 {
		store := NewStore()
		w.stores = append(w.stores, store)
		w.highest = append(w.highest, 0)
		w.committers = append(w.committers, NewCommitter(Config{
			Client:      w.platform,
			Store:       store,
			Now:         func() time.Time { return w.clock },
			Sleep:       func(context.Context, time.Duration) error { return nil },
			NewRand:     func() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) },
			MaxAttempts: 4,
		}))
	}
	return w
}

// between lets another operator act in the midst of a call.
func (w *world) between() {
	const maxDepth = 3
	if w.depth < maxDepth && rapid.IntRange(0, 9).Draw(w.t, "race") == 9 {
		w.operate()
	}
}

// operate commits a drawn change, and sends it again while its end is unsure.
func (w *world) operate() {
	w.depth++
	defer func() { w.depth-- }()
	w.operations++
	change := w.draw(fmt.Sprintf("op-%d", w.operations))
	w.changes[change.OperationID] = change
	for range rapid.IntRange(1, 3).Draw(w.t, "sends") {
		w.send(change)
	}
}

func (w *world) draw(id string) version.Change {
	change := version.Change{OperationID: id}
	switch rapid.IntRange(0, 3).Draw(w.t, "what") {
	case 0:
		site := rapid.SampledFrom([]string{"a", "b"}).Draw(w.t, "site")
		change.DataCentres = []version.AdminStateChange{{Name: site, OutOfService: rapid.Bool().Draw(w.t, "out")}}
	case 1:
		change.Targets = []version.AdminStateChange{{Name: "n-" + id, OutOfService: true}}
	case 2:
		text := organisationText(rapid.IntRange(40, 60).Draw(w.t, "slots"))
		change.Files = []version.File{{Name: "f.yaml", Text: text}}
	case 3:
		change.Files = []version.File{{Name: "f.yaml", Text: configurationText + organisationText(1)}}
		change.Base = uint64(rapid.IntRange(0, 5).Draw(w.t, "base"))
	}
	return change
}

// send commits a change once and notes what the operator may believe. After
// an unsure end, a refusal by another node proves nothing.
func (w *world) send(change version.Change) {
	node := rapid.IntRange(0, len(w.committers)-1).Draw(w.t, "node")
	result, err := w.committers[node].Commit(context.Background(), change, "asha")
	w.checkStores()
	before := w.fates[change.OperationID]
	var unknown *UnknownOutcomeError
	switch {
	case err == nil:
		w.fates[change.OperationID] = accepted
		if w.stores[node].Version() < result.Entry.Version || result.Entry.OperationID != change.OperationID {
			w.t.Fatalf("accepted %+v, in force %d", result.Entry, w.stores[node].Version())
		}
	case before != "" && before != refused:
	case errors.As(err, &unknown):
		w.fates[change.OperationID] = unsure
	default:
		w.fates[change.OperationID] = refused
	}
}

// checkStores checks that no node went back.
func (w *world) checkStores() {
	for i, store := range w.stores {
		if store.Version() < w.highest[i] {
			w.t.Fatalf("node %d went back from %d to %d", i, w.highest[i], store.Version())
		}
		w.highest[i] = store.Version()
	}
}

// offerOld offers a node whatever the platform ever held, as a watch that
// stalls or a peer that lags does.
func (w *world) offerOld() {
	if len(w.platform.values) == 0 {
		return
	}
	data := rapid.SampledFrom(w.platform.values).Draw(w.t, "offer")
	i := rapid.IntRange(0, len(w.stores)-1).Draw(w.t, "to")
	before := w.stores[i].Version()
	changed, err := w.stores[i].UpdateIfNewer(w.clock, data)
	if err != nil || changed != (w.stores[i].Version() > before) {
		w.t.Fatalf("offer: changed %v, from %d to %d: %v", changed, before, w.stores[i].Version(), err)
	}
	w.checkStores()
}

// checkHistory checks the fates against what the platform ever held.
func (w *world) checkHistory() {
	counts := make(map[string]int)
	var doc version.Document
	for i, value := range w.platform.values {
		next, err := version.Decode(value)
		if err != nil || next.Version != uint64(i)+1 {
			w.t.Fatalf("write %d holds version %d: %v", i+1, next.Version, err)
		}
		w.checkWhole(doc, next)
		doc = next
	}
	for _, entry := range doc.History {
		counts[entry.OperationID]++
	}
	for id, fate := range w.fates {
		n := counts[id]
		if n > 1 || (fate == accepted && n != 1) || (fate == refused && n != 0) {
			w.t.Fatalf("%s is %s and stands %d times in the history", id, fate, n)
		}
	}
}

// checkWhole checks that a write holds exactly one whole change.
func (w *world) checkWhole(doc, next version.Document) {
	change := w.changes[next.OperationID]
	want, err := version.Apply(doc, change, w.clock, "asha")
	want.Format = next.Format
	if err != nil || !reflect.DeepEqual(want, next) {
		w.t.Fatalf("version %d is not %+v applied to %d: %v", next.Version, change, doc.Version, err)
	}
}

func TestCommitOnceOrNotAtAll(t *testing.T) {
	ends := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 12).Draw(t, "steps") {
			w.operate()
			w.offerOld()
		}
		w.platform.healthy = true
		w.platform.landSome()
		w.checkHistory()
		for _, fate := range w.fates {
			ends[fate]++
		}
		// Once the platform is well, what was unsure is settled by sending it
		// again, and the nodes agree.
		for id, fate := range w.fates {
			if fate == unsure {
				w.send(w.changes[id])
			}
		}
		w.checkHistory()
	})
	t.Logf("fates: %v", ends)
	if ends[accepted] == 0 || ends[refused] == 0 || ends[unsure] == 0 {
		t.Errorf("the histories do not reach every fate: %v", ends)
	}
}

// TestRacersBothWin shows that changes of different things both take effect,
// and that of two changes of the same thing the second is told of the first.
func TestRacersBothWin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		w.platform.healthy = true
		first := version.Change{OperationID: "first", Files: []version.File{{Name: "f.yaml", Text: configurationText + organisationText(1)}}}
		if _, err := w.committers[0].Commit(context.Background(), first, "asha"); err != nil {
			t.Fatal(err)
		}
		mine := version.Change{OperationID: "mine", DataCentres: []version.AdminStateChange{{Name: "a", OutOfService: true}}}
		theirs := version.Change{OperationID: "theirs", DataCentres: []version.AdminStateChange{{Name: "b", OutOfService: true}}}
		same := rapid.Bool().Draw(t, "same")
		if same {
			mine.DataCentres, mine.Files = nil, []version.File{{Name: "f.yaml", Text: organisationText(2)}}
			theirs.DataCentres, theirs.Files = nil, []version.File{{Name: "f.yaml", Text: organisationText(3)}}
		}
		racing := &racingClient{fakePlatform: w.platform, race: func() {
			if _, err := w.committers[1].Commit(context.Background(), theirs, "binu"); err != nil {
				t.Fatal(err)
			}
		}}
		w.committers[0].config.Client = racing
		_, err := w.committers[0].Commit(context.Background(), mine, "asha")
		var conflict *version.ConflictError
		if same != errors.As(err, &conflict) {
			t.Fatalf("same thing %v: %v", same, err)
		}
		if same && (len(conflict.ChangesSince) != 1 || conflict.ChangesSince[0].Actor != "binu" || conflict.Resources[0] != "organisation club") {
			t.Fatalf("got %+v", conflict)
		}
		if !same && len(w.stores[0].Current().DataCentresOut()) != 2 {
			t.Fatalf("out are %v", w.stores[0].Current().DataCentresOut())
		}
	})
}

// racingClient runs another commit before the first write.
type racingClient struct {
	*fakePlatform
	race func()
}

func (c *racingClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if race := c.race; race != nil {
		c.race = nil
		race()
	}
	return c.fakePlatform.Put(ctx, key, value, ifVersion)
}
