package platform_test

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	standin "verbenatrestle/internal/standin/platform"
	_ "verbenatrestle/internal/testseed"
	"verbenatrestle/process/platform"
)

// testTimeout is the maximum time that these tests wait for a call or a condition.
const testTimeout = 20 * time.Second

// fixture is a platform stand-in with a client.
type fixture struct {
	server   *standin.Server
	http     *httptest.Server
	client   *platform.Client
	registry metrics.Registry
}

func newFixture(t *testing.T, options standin.Options, config platform.Config) *fixture {
	t.Helper()
	server := standin.NewServer(options)
	f := &fixture{server: server, http: httptest.NewServer(server.Handler()), registry: metrics.NewRegistry()}
	config.BaseURL = f.http.URL
	config.Registry = f.registry
	f.client = platform.New(config)
	t.Cleanup(func() {
		f.client.Close()
		f.http.CloseClientConnections()
		f.http.Close()
	})
	return f
}

func ptr[T any](value T) *T {
	return &value
}

// unlimitedConfig returns a configuration whose rate limit has no effect.
func unlimitedConfig() platform.Config {
	return platform.Config{Rate: 10000, Burst: 10000, Timeout: testTimeout}
}

func TestConditionalWrites(t *testing.T) {
	f := newFixture(t, standin.Options{}, unlimitedConfig())
	ctx := t.Context()
	_, err := f.client.Get(ctx, "a/b c")
	if !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("get of an object that doesn't exist: %v", err)
	}
	first, err := f.client.Put(ctx, "a/b c", []byte("one"), 0)
	if err != nil {
		t.Fatal(err)
	}
	var conflict *platform.ConflictError
	if _, err = f.client.Put(ctx, "a/b c", []byte("two"), 0); !errors.As(err, &conflict) {
		t.Fatalf("second creation: %v", err)
	}
	if conflict.Version != first || string(conflict.Value) != "one" {
		t.Fatalf("conflict holds %d %q", conflict.Version, conflict.Value)
	}
	second, err := f.client.Put(ctx, "a/b c", []byte("three"), first)
	if err != nil || second <= first {
		t.Fatalf("replacement: version %d after %d, %v", second, first, err)
	}
	if err := f.client.Delete(ctx, "a/b c", first); !errors.As(err, &conflict) {
		t.Fatalf("delete of an old version: %v", err)
	}
	if err := f.client.Delete(ctx, "a/b c", second); err != nil {
		t.Fatal(err)
	}
	if _, err = f.client.Put(ctx, "a/b c", nil, second); !errors.As(err, &conflict) || conflict.Version != 0 {
		t.Fatalf("replacement of a deleted object: %v", err)
	}
	if err := f.client.Delete(ctx, "a/b c", second); !errors.Is(err, platform.ErrNotFound) {
		t.Fatalf("second delete: %v", err)
	}
}

// ErrUnavailable means that a write certainly had no effect. The test guards against
// this error when the platform executed the write but its response was lost or came
// too late.
func TestErrUnavailableMeansNoEffect(t *testing.T) {
	cases := []struct {
		name    string
		options standin.Options
		control standin.Control
		timeout time.Duration
		want    error
		written bool
	}{
		{"lost answer", standin.Options{}, standin.Control{DropResponses: ptr(1)}, testTimeout, platform.ErrUnknownOutcome, true},
		{"slow", standin.Options{}, standin.Control{SlowMs: ptr(1000)}, 500 * time.Millisecond, platform.ErrUnknownOutcome, true},
		{"down", standin.Options{}, standin.Control{Down: ptr(true)}, testTimeout, platform.ErrUnavailable, false},
		{"rate", standin.Options{WritesPerSecond: 0.001}, standin.Control{}, testTimeout, platform.ErrUnavailable, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.options, unlimitedConfig())
			version, err := f.client.Put(t.Context(), "first", []byte("x"), 0)
			if err != nil {
				t.Fatal(err)
			}
			f.server.Apply(c.control)
			ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
			defer cancel()
			_, err = f.client.Put(ctx, "first", []byte("y"), version)
			if !errors.Is(err, c.want) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
			f.server.Apply(standin.Control{Down: ptr(false), SlowMs: ptr(0)})
			wantVersion := version
			if c.written {
				wantVersion++
			}
			eventually(t, "the expected version of the object", func() bool {
				present, err := f.client.Get(t.Context(), "first")
				return err == nil && present.Version == wantVersion
			})
		})
	}
}

func TestRefusedConnectionIsUnavailable(t *testing.T) {
	f := newFixture(t, standin.Options{}, unlimitedConfig())
	f.http.Close()
	_, err := f.client.Put(t.Context(), "key", nil, 0)
	if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUnknownOutcome) {
		t.Fatalf("put without a running platform: %v", err)
	}
}

func TestRateLimitedErrorHasRetryAfter(t *testing.T) {
	f := newFixture(t, standin.Options{ReadsPerSecond: 0.001}, unlimitedConfig())
	_, _ = f.client.Get(t.Context(), "key")
	_, err := f.client.Get(t.Context(), "key")
	var limited *platform.RateLimitedError
	if !errors.As(err, &limited) || limited.RetryAfter <= 0 {
		t.Fatalf("got %v, want a RateLimitedError", err)
	}
}

func TestClientLimitsItsRate(t *testing.T) {
	f := newFixture(t, standin.Options{}, platform.Config{Rate: 0.001, Burst: 3, Timeout: testTimeout})
	for range 10 {
		_, _ = f.client.Get(t.Context(), "key")
	}
	if reads := f.server.Stats().Reads; reads != 3 {
		t.Fatalf("the platform received %d calls, the rate limit allows 3", reads)
	}
	calls := f.registry.Get("platform.calls.get").(metrics.Counter).Count()
	if calls != 3 {
		t.Fatalf("counted %d calls, want 3", calls)
	}
}

func TestLargeValueIsNotSent(t *testing.T) {
	f := newFixture(t, standin.Options{}, unlimitedConfig())
	_, err := f.client.Put(t.Context(), "key", make([]byte, platform.MaxValueBytes+1), 0)
	if !errors.Is(err, platform.ErrUnavailable) || f.server.Stats().Writes != 0 {
		t.Fatalf("got %v after %d writes", err, f.server.Stats().Writes)
	}
}

func TestBackoffGrowsToItsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		backoff := platform.Backoff{
			Base: time.Duration(rapid.Int64Range(1, 1e9).Draw(t, "base")),
			Cap:  time.Duration(rapid.Int64Range(1, 1e11).Draw(t, "cap")),
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		bound := min(backoff.Base, backoff.Cap)
		for range rapid.IntRange(1, 200).Draw(t, "failures") {
			if delay := backoff.Next(rng); delay < 0 || delay > bound {
				t.Fatalf("delay %s is not within %s", delay, bound)
			}
			bound = min(2*bound, backoff.Cap)
		}
		backoff.Reset()
		if delay := backoff.Next(rng); delay > backoff.Base {
			t.Fatalf("delay %s after a success is above %s", delay, backoff.Base)
		}
	})
}

// eventually waits until the condition holds.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	end := time.Now().Add(testTimeout)
	for !condition() {
		if time.Now().After(end) {
			t.Fatalf("timeout after %s while waiting for: %s", testTimeout, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}
