package configstore

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/process/platform"
)

// delayedWrite is a write that takes effect after its caller got an error, if at
// all.
type delayedWrite struct {
	value     []byte
	ifVersion uint64
}

// fakePlatform holds one object. It has faults as drawn: outages, stale reads,
// lost writes, lost responses, writes that take effect long after their response
// was lost, and commits of other operators during a call.
type fakePlatform struct {
	t       *rapid.T
	values  [][]byte // the value of version n is at index n-1
	delayed []delayedWrite
	outage  int    // number of further calls that fail
	healthy bool   // no more faults
	race    func() // may commit a change of another operator
}

// begin draws the events at the start of a call and reports whether the call
// fails because of an outage.
func (f *fakePlatform) begin(label string) bool {
	if f.healthy {
		return false
	}
	f.race()
	f.applyDelayed()
	if f.outage == 0 && rapid.IntRange(0, 19).Draw(f.t, label+" outage") == 19 {
		f.outage = rapid.IntRange(1, 40).Draw(f.t, "calls")
	}
	if f.outage > 0 {
		f.outage--
		return true
	}
	return false
}

// applyDelayed applies some delayed writes, or all if the platform is healthy.
func (f *fakePlatform) applyDelayed() {
	for len(f.delayed) > 0 && (f.healthy || rapid.Bool().Draw(f.t, "delayed write applied")) {
		write := f.delayed[0]
		f.delayed = f.delayed[1:]
		f.store(write)
	}
}

// store applies a conditional write and reports whether it took effect.
func (f *fakePlatform) store(write delayedWrite) bool {
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
	returned := f.version()
	if !f.healthy && returned > 0 && rapid.IntRange(0, 4).Draw(f.t, "stale read") == 4 {
		returned = uint64(rapid.IntRange(0, int(returned)).Draw(f.t, "returned"))
	}
	if returned == 0 {
		return platform.Object{}, errors.Wrap(platform.ErrNotFound, "fake")
	}
	return platform.Object{Key: Key, Version: returned, Value: f.values[returned-1]}, nil
}

func (f *fakePlatform) Put(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	if f.begin("put") {
		return 0, errors.Wrap(platform.ErrUnavailable, "fake")
	}
	write := delayedWrite{value: value, ifVersion: ifVersion}
	outcome := 0
	if !f.healthy {
		outcome = rapid.IntRange(0, 8).Draw(f.t, "write outcome")
	}
	switch outcome {
	case 6: // takes effect, the response is lost
		f.store(write)
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "fake")
	case 7: // takes effect later, if at all
		f.delayed = append(f.delayed, write)
		return 0, errors.Wrap(platform.ErrUnknownOutcome, "fake")
	case 8: // the write is lost
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

func TestFakeImplementsClient(t *testing.T) {
	var _ Client = (*platform.Client)(nil)
	var _ Client = (*fakePlatform)(nil)
}
