package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"verbenatrestle/connection/wire"
	"verbenatrestle/process/ownership/claim"
	"verbenatrestle/process/ownership/message"
	"verbenatrestle/process/ownership/timing"
)

// memoryPlatform is the platform's object API in memory.
type memoryPlatform struct {
	mu       sync.Mutex
	revision uint64
	objects  map[string]Object
}

func (m *memoryPlatform) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.objects[key], nil
}

func (m *memoryPlatform) Put(_ context.Context, key string, value []byte, ifVersion uint64) (Object, bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.objects[key].Version != ifVersion {
		return m.objects[key], true, nil
	}
	m.revision++
	m.objects[key] = Object{Key: key, Version: m.revision, Value: value}
	return m.objects[key], false, nil
}

func (m *memoryPlatform) Watch(ctx context.Context, prefix string, revision uint64, wait time.Duration) ([]Object, uint64, error) {
	deadline := time.Now().Add(wait)
	for {
		objects, next := m.changed(prefix, revision)
		if len(objects) > 0 || time.Now().After(deadline) {
			return objects, next, nil
		}
		select {
		case <-ctx.Done():
			return nil, revision, ctx.Err()
		case <-time.After(5 * time.Millisecond):
		}
	}
}

func (m *memoryPlatform) changed(prefix string, revision uint64) ([]Object, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var objects []Object
	for key, object := range m.objects {
		if strings.HasPrefix(key, prefix) && object.Version > revision {
			objects = append(objects, object)
		}
	}
	return objects, m.revision
}

// fleet is some runners that send to each other in memory, as encoded bytes.
type fleet struct {
	t       *testing.T
	codec   *wire.Codec
	mu      sync.Mutex
	runners map[string]*Runner
	members []Member
}

type fleetSender struct {
	fleet *fleet
	from  string
}

func (s fleetSender) Send(to string, m any) error {
	data, err := s.fleet.codec.Encode(m)
	if err != nil {
		return err
	}
	r := s.fleet.runner(to)
	if r == nil {
		return nil
	}
	go func() {
		decoded, err := s.fleet.codec.Decode(data)
		if err != nil {
			s.fleet.t.Errorf("decode %T: %v", m, err)
			return
		}
		r.Handle(s.from, decoded)
	}()
	return nil
}

func (f *fleet) runner(name string) *Runner {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.runners[name]
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, codec: wire.NewCodec(), runners: make(map[string]*Runner)}
	message.Register(f.codec)
	store := &memoryPlatform{objects: make(map[string]Object)}
	settings := timing.Settings{LeaseTerm: 3 * time.Second, DriftMarginPercent: 10, MaxClockSkew: 50 * time.Millisecond}
	for i := range count {
		name := fmt.Sprintf("n%d", i)
		r, err := NewRunner(Options{
			Node:        name,
			Incarnation: uint64(time.Now().UnixNano()),
			Timing:      settings,
			Platform:    store,
			Sender:      fleetSender{fleet: f, from: name},
			Random:      rand.New(rand.NewPCG(uint64(i), 1)),
		})
		if err != nil {
			t.Fatal(err)
		}
		f.runners[name] = r
		f.members = append(f.members, Member{
			Node:        name,
			Incarnation: r.core.incarnation,
			DataCentre:  fmt.Sprintf("dc%d", i%3),
			Services:    []string{modelService},
			Alive:       true,
			Eligible:    true,
		})
	}
	for _, r := range f.runners {
		r.SetServices([]ServiceSpec{{ID: modelService, Partitions: 3}})
		r.SetMembers(f.members)
		r.Start()
	}
	t.Cleanup(f.stop)
	return f
}

// stop ends all runners at once.
func (f *fleet) stop() {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, m := range f.members {
		_ = f.runner(m.Node).Stop(ended)
	}
}

// run runs an operation through the present owner and waits for its end. It
// returns false if the operation was refused or is unknown.
func (f *fleet) run(from *Runner, key string, runs *atomic.Int64) bool {
	deadline := time.Now().Add(20 * time.Second)
	for time.Now().Before(deadline) {
		name, _ := from.OwnerOf(modelService, key)
		owner := f.runner(name)
		if owner == nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d := owner.Claim(Request{Service: modelService, Key: key})
		switch d.Verdict {
		case Run:
			runs.Add(1)
			owner.Complete(d.Handle, &claim.Answer{Status: 200, Body: []byte(key)})
			return true
		case Replay:
			return string(d.Answer.Body) == key
		case NotOwner, InProgress:
			time.Sleep(5 * time.Millisecond)
		default:
			f.t.Logf("key %s: %v %v", key, d.Verdict, d.Reason)
			return false
		}
	}
	return false
}

// waitReady waits until all partitions have owners that take on operations.
func (f *fleet) waitReady(from *Runner, key func(i int) string) {
	deadline := time.Now().Add(30 * time.Second)
	for ready := 0; ready < 30; {
		if time.Now().After(deadline) {
			f.t.Fatal("no owners")
		}
		k := key(1000 + ready)
		name, _ := from.OwnerOf(modelService, k)
		if owner := f.runner(name); owner != nil {
			if d := owner.Claim(Request{Service: modelService, Key: k}); d.Verdict == Run {
				owner.Abort(d.Handle)
				ready++
				continue
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestRunnerPlannedLeave(t *testing.T) {
	f := newFleet(t, 5)
	var runs atomic.Int64
	first := f.runner("n0")
	key := func(i int) string { return datedKey(time.Now(), uint64(i), uint64(i)) }
	var keys []string
	f.waitReady(first, key)
	for i := range 60 {
		keys = append(keys, key(i))
		if !f.run(first, keys[i], &runs) {
			t.Fatalf("operation %d was not run", i)
		}
	}
	name, _ := first.OwnerOf(modelService, keys[0])
	stopped := make(chan error, 1)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	go func() { stopped <- f.runner(name).Stop(ctx) }()
	for i := 60; len(stopped) == 0; i++ {
		keys = append(keys, key(i))
		if !f.run(first, keys[i], &runs) {
			t.Fatalf("operation %d was not run during the leave", i)
		}
		time.Sleep(time.Millisecond)
	}
	if err := <-stopped; err != nil {
		t.Fatal(err)
	}
	if owner, _ := first.OwnerOf(modelService, keys[0]); owner == name {
		t.Fatalf("%s still owns the partition", name)
	}
	before := runs.Load()
	for _, k := range keys {
		if !f.run(first, k, &runs) {
			t.Fatalf("%s has no answer after the leave", k)
		}
	}
	if after := runs.Load(); after != before || before != int64(len(keys)) {
		t.Fatalf("%d runs before sending again, %d after, of %d operations", before, after, len(keys))
	}
}
