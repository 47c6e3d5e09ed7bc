package configstore

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"verbenatrestle/process/platform"
	"verbenatrestle/version"
)

// newDocuments returns encoded valid documents with the versions from 1 to n.
func newDocuments(t testing.TB, n int) [][]byte {
	t.Helper()
	var all [][]byte
	var doc version.Document
	for i := range n {
		change := version.Change{OperationID: fmt.Sprint("op-", i)}
		if i == 0 {
			change.Files = []version.File{{Name: "f.yaml", Text: configurationText + organisationText(1)}}
		} else {
			change.DataCentres = []version.AdminStateChange{{Name: "a", OutOfService: i%2 == 1}}
		}
		next, err := version.Apply(doc, change, time.Unix(int64(i), 0), "asha")
		if err != nil {
			t.Fatal(err)
		}
		data, err := next.Encode()
		if err != nil {
			t.Fatal(err)
		}
		doc, all = next, append(all, data)
	}
	return all
}

func TestStoreVersionNeverDecreases(t *testing.T) {
	all := newDocuments(t, 12)
	rapid.Check(t, func(t *rapid.T) {
		store := NewStore()
		highest := 0
		for _, i := range rapid.SliceOf(rapid.IntRange(0, len(all))).Draw(t, "updates") {
			signal := store.Changed()
			if i == 0 {
				if _, err := store.UpdateIfNewer(time.Now(), []byte("garbage")); err == nil {
					t.Fatal("an invalid document was accepted")
				}
				continue
			}
			changed, err := store.UpdateIfNewer(time.Unix(100, 0), all[i-1])
			if err != nil || changed != (i > highest) || closed(signal) != changed {
				t.Fatalf("update to %d from %d: changed %v, signal %v: %v", i, highest, changed, closed(signal), err)
			}
			highest = max(highest, i)
			if store.Version() != uint64(highest) || store.Current().DataCentreOutOfService("a") != (highest%2 == 0) {
				t.Fatalf("version %d is active, want %d", store.Version(), highest)
			}
		}
	})
}

func closed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// TestReplaceKeepsHigherVersion checks that a configuration is dropped if a higher version
// became active while it was compiled.
func TestReplaceKeepsHigherVersion(t *testing.T) {
	store := NewStore()
	all := newDocuments(t, 3)
	if _, err := store.UpdateIfNewer(time.Unix(100, 0), all[2]); err != nil {
		t.Fatal(err)
	}
	late := &ActiveConfig{Snapshot: version.NewSnapshot(2, time.Unix(1, 0), nil, nil, nil)}
	if store.replace(late) || store.Version() != 3 {
		t.Fatalf("version %d is active", store.Version())
	}
	if delay := store.Active().PropagationDelay(); delay != 98*time.Second {
		t.Errorf("delay %s", delay)
	}
}

func TestWait(t *testing.T) {
	store := NewStore()
	all := newDocuments(t, 2)
	got := make(chan uint64)
	go func() {
		snapshot, err := store.WaitForVersion(context.Background(), 2)
		if err != nil {
			t.Error(err)
		}
		got <- snapshot.Version()
	}()
	for _, data := range all {
		if _, err := store.UpdateIfNewer(time.Unix(1, 0), data); err != nil {
			t.Fatal(err)
		}
	}
	if v := <-got; v != 2 {
		t.Errorf("got version %d", v)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := store.WaitForVersion(ctx, 3); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

// scriptedClient returns the given versions of the object, one at each read, and
// the last one for all further reads. If failWrite is set, the first write fails.
type scriptedClient struct {
	*fakePlatform
	returned  []int
	failWrite bool
}

func (c *scriptedClient) Get(context.Context, string) (platform.Object, error) {
	returned := c.returned[0]
	if len(c.returned) > 1 {
		c.returned = c.returned[1:]
	}
	if returned == 0 {
		return platform.Object{}, platform.ErrNotFound
	}
	return platform.Object{Key: Key, Version: uint64(returned), Value: c.values[returned-1]}, nil
}

func (c *scriptedClient) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if c.failWrite {
		c.failWrite = false
		return 0, platform.ErrUnavailable
	}
	return c.fakePlatform.Put(ctx, key, value, ifVersion)
}

// TestStaleReads checks that a commit doesn't apply a change to a document that is
// older than what the operator, the node or the commit itself has seen.
func TestStaleReads(t *testing.T) {
	all := newDocuments(t, 4) // data centre a: out at 2 and 4, in at 1 and 3
	tests := []struct {
		name      string
		returned  []int
		known     int // active version of the node
		base      uint64
		failWrite bool
		want      string
	}{
		{name: "older than the operator's base", returned: []int{2, 0, 4}, base: 4},
		{name: "older than the node's at every read", returned: []int{2}, known: 4, want: "older than the last known one"},
		{name: "no object though the node has a version", returned: []int{0}, known: 4, want: "older than the last known one"},
		{name: "older than at the first read", returned: []int{4, 3, 4}, failWrite: true},
	}
	for _, test := range tests {
		values := append([][]byte(nil), all...)
		client := &scriptedClient{fakePlatform: &fakePlatform{values: values, healthy: true}, returned: test.returned, failWrite: test.failWrite}
		s := newSimulation(nil)
		s.committers[0].config.Client = client
		if test.known > 0 {
			if _, err := s.stores[0].UpdateIfNewer(s.clock, all[test.known-1]); err != nil {
				t.Fatal(err)
			}
		}
		change := version.Change{OperationID: "x", Base: test.base, DataCentres: []version.AdminStateChange{{Name: "a", OutOfService: true}}}
		got, err := s.committers[0].Commit(context.Background(), change, "asha")
		if test.want == "" && (err != nil || got.Entry.Version != 5) {
			t.Errorf("%s: got %+v, %v", test.name, got, err)
		}
		var unavailable *UnavailableError
		if test.want != "" && (!errors.As(err, &unavailable) || !errors.Is(err, errStale) || !strings.Contains(err.Error(), test.want)) {
			t.Errorf("%s: got %v", test.name, err)
		}
	}
}
