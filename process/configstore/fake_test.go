package configstore

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/process/platform"
)

// lateWrite is a write whose answer was lost before it took effect.
type lateWrite struct {
	value     []byte
	ifVersion uint64
}

// fakePlatform holds one object. It misbehaves as drawn: outages, stale reads,
// answers lost before, after or long before the write takes effect, and other
// operators who act in the midst of a call.
type fakePlatform struct {
	t       *rapid.T
	values  [][]byte // by object version, from 1
	late    []lateWrite
	outage  int    // calls that the outage still lasts
	healthy bool   // no more faults
	between func() // lets another operator act
}

// begin draws what happens at the start of a call and reports an outage.
func (f *fakePlatform) begin(label string) bool {
	if f.healthy {
		return false
	}
	f.between()
	f.landSome()
	if f.outage == 0 && rapid.IntRange(0, 19).Draw(f.t, label+" outage") == 19 {
		f.outage = rapid.IntRange(1, 40).Draw(f.t, "calls")
	}
	if f.outage > 0 {
		f.outage--
		return true
	}
	return false
}

// landSome lets late writes take effect.
func (f *fakePlatform) landSome() {
	for len(f.late) > 0 && (f.healthy || rapid.Bool().Draw(f.t, "late write lands")) {
		write := f.late[0]
		f.late = f.late[1:]
		f.store(write)
	}
}

// store applies a conditional write and reports whether it took effect.
func (f *fakePlatform) store(write lateWrite) bool {
	if write.ifVersion != f.version() {
		return false
	}
	f.values = append(f.values, write.value)
	return true
}

func (f *fakePlatform) version() uint64 { return uint64(len(f.values)) }

func (f *fakePlatform) Get(context.Context, string) (platform.Object, error) {
	if f.begin("get") {
		return platform.Object{}, errors.Wrap(platform.ErrUnavailable, "fake")
	}
	shown := f.version()
	if !f.healthy && shown > 0 && rapid.IntRange(0, 4).Draw(f.t, "stale read") == 4 {
		shown = uint64(rapid.IntRange(0, int(shown)).Draw(f.t, "shown"))
	}
	if shown == 0 {
		return platform.Object{}, errors.Wrap(platform.ErrNotFound, "fake")
	}
	return platform.Object{Key: Key, Version: shown, Value: f.values[shown-1]}, nil
}

func (f *fakePlatform) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	if f.begin("put") {
		return 0, errors.Wrap(platform.ErrUnavailable, "fake")
	}
	write := lateWrite{value: value, ifVersion: ifVersion}
	fate := 0
	if !f.healthy {
		fate = rapid.IntRange(0, 8).Draw(f.t, "fate")
	}
	switch fate {
	case 6: // takes effect, the answer is lost
		f.store(write)
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "fake")
	case 7: // takes effect later, if at all
		f.late = append(f.late, write)
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "fake")
	case 8: // is lost
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "fake")
	}
	if f.store(write) {
		return f.version(), nil
	}
	conflict := &platform.ConflictError{Version: f.version()}
	if f.version() > 0 {
		conflict.Value = f.values[f.version()-1]
	}
	return 0, errors.Wrap(conflict, "fake")
}

func TestFakeIsAClient(t *testing.T) {
	var _ Client = (*platform.Client)(nil)
	var _ Client = (*fakePlatform)(nil)
}
