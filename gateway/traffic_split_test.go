package gateway

import (
	"testing"

	"verbenatrestle/platform"
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
