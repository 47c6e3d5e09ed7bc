package node

import (
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"

	standin "verbenatrestle/internal/standin/platform"
	"verbenatrestle/process/membership"
	"verbenatrestle/process/platform"
)

func TestListPauseAfter(t *testing.T) {
	cases := []struct {
		name    string
		lists   int
		present int
		want    time.Duration
	}{
		{"alone at the start", 0, 0, earlyListPause},
		{"alone for long", 50, 0, earlyListPause},
		{"few at the start", 0, largeFleet - 1, earlyListPause},
		{"few later", startupLists, 1, listPause},
		{"many at the start", 0, largeFleet, listPause},
	}
	for _, c := range cases {
		if got := listPauseAfter(c.lists, c.present); got != c.want {
			t.Errorf("%s: got %s, want %s", c.name, got, c.want)
		}
	}
}

// Another node had removed the object of a member that was taken for dead. When that one was back,
// it wrote over the version that it knew, again and again, and its object was never stored.
func TestMemberObjectThatWasRemovedIsWrittenAgain(t *testing.T) {
	server := httptest.NewServer(standin.NewServer(standin.Options{}).Handler())
	defer server.Close()
	client := platform.New(platform.Config{BaseURL: server.URL})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	d := newDirectory(client, nil, nil, log.NewNopLogger(), rand.New(rand.NewPCG(1, 1)))
	go d.runWriter(ctx)
	stored := func() platform.Object {
		for ctx.Err() == nil {
			if o, err := client.Get(ctx, memberPrefix+"a"); err == nil {
				return o
			}
			time.Sleep(10 * time.Millisecond)
		}
		t.Fatal("the member object is not stored")
		return platform.Object{}
	}
	d.publish(membership.Member{Node: "a", Incarnation: 1})
	if err := client.Delete(ctx, memberPrefix+"a", stored().Version); err != nil {
		t.Fatal(err)
	}
	d.publish(membership.Member{Node: "a", Incarnation: 2})
	stored()
}
