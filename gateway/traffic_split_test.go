package gateway

import (
	"testing"

	"verbenatrestle/platform"
	"verbenatrestle/version"
)

// The proportions of a traffic split have to hold within 100 requests.
func TestSharesFollowTheWeights(t *testing.T) {
	table, err := platform.DecodeRoutes([]byte(`{"version":"r1","routes":[{"name":"r","host":"h","pathPrefix":"/","trafficSplit":[{"service":"a","weight":90},{"service":"b","weight":10}]}],"services":[]}`))
	if err != nil {
		t.Fatal(err)
	}
	s, counts := newTrafficSplitter(), map[string]int{}
	for range 100 {
		counts[s.next(table.Route("h", "/"))]++
	}
	if counts["a"] < 88 || counts["a"] > 92 {
		t.Fatalf("%v", counts)
	}
}

// After a change of the split, requests went to a service whose weight is zero, while the weights
// that were carried over put it before the others.
func TestServiceOfWeightZeroGetsNoRequests(t *testing.T) {
	before := &version.RouteRule{Name: "r", Services: []version.WeightedService{{Name: "a", Weight: 50}, {Name: "b", Weight: 50}}}
	after := &version.RouteRule{Name: "r", Services: []version.WeightedService{{Name: "c", Weight: 0}, {Name: "a", Weight: 1}}}
	for requests := range 100 {
		s := newTrafficSplitter()
		for range requests {
			s.next(before)
		}
		if chosen := s.next(after); chosen != "a" {
			t.Fatalf("after %d requests: %q was chosen, want a", requests, chosen)
		}
	}
}

// After a change of a split, the first request of each node went to the service with the highest
// weight, so that the shares over all nodes were off until each node had some requests.
func TestFirstRequestsOfManyNodesFollowTheWeights(t *testing.T) {
	const nodes, share, tolerance = 2000, 0.4, 0.1
	before := &version.RouteRule{Name: "r", Services: []version.WeightedService{{Name: "a", Weight: 50}, {Name: "b", Weight: 50}}}
	after := &version.RouteRule{Name: "r", Services: []version.WeightedService{{Name: "a", Weight: 100 * (1 - share)}, {Name: "b", Weight: 100 * share}}}
	chosen := 0.0
	for range nodes {
		s := newTrafficSplitter()
		s.next(before)
		if s.next(after) == "b" {
			chosen++
		}
	}
	if got := chosen / nodes; got < share-tolerance || got > share+tolerance {
		t.Errorf("share %.3f of the first requests, want %.1f", got, share)
	}
}
