package version

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

// scanRoute is the reference for RouteTable.Route: it compares all rules.
func scanRoute(rules []RouteRule, host, path string) *RouteRule {
	var found *RouteRule
	for i := range rules {
		r := &rules[i]
		if canonicalHost(r.Host) == canonicalHost(host) && strings.HasPrefix(path, r.PathPrefix) &&
			(found == nil || len(r.PathPrefix) > len(found.PathPrefix)) {
			found = r
		}
	}
	return found
}

// pathGenerator draws paths of a few short segments, so that prefixes often match.
func pathGenerator() *rapid.Generator[string] {
	return rapid.Custom(func(t *rapid.T) string {
		segments := rapid.SliceOfN(rapid.SampledFrom([]string{"a", "b", "", "a%20b"}), 0, 4).Draw(t, "segments")
		return "/" + strings.Join(segments, "/")
	})
}

// A table with many routes must give the same answer as a comparison with each of
// them: the longest matching prefix, and the first of equal rules.
func TestRouteHasLongestMatchingPrefix(t *testing.T) {
	hosts := rapid.SampledFrom([]string{"h.example", "H.example:80", "other.example"})
	rapid.Check(t, func(t *rapid.T) {
		rules := make([]RouteRule, rapid.IntRange(0, 40).Draw(t, "rules"))
		for i := range rules {
			prefix := pathGenerator().Draw(t, "prefix")
			if !strings.HasSuffix(prefix, "/") {
				prefix += "/"
			}
			rules[i] = RouteRule{Name: fmt.Sprint(i), Host: hosts.Draw(t, "host"), PathPrefix: prefix}
		}
		table := NewRouteTable(1, rules, nil, CallerLimits{})
		host, path := hosts.Draw(t, "asked host"), pathGenerator().Draw(t, "path")
		got, want := table.Route(host, path), scanRoute(rules, host, path)
		if (got == nil) != (want == nil) || got != nil && got.Name != want.Name {
			t.Fatalf("route of %s%s: %+v, want %+v", host, path, got, want)
		}
	})
}

func BenchmarkRouteTable(b *testing.B) {
	for _, count := range []int{8, 1400} {
		rules := make([]RouteRule, count)
		for i := range rules {
			rules[i] = RouteRule{Host: "h.example", PathPrefix: fmt.Sprintf("/p%d/", i)}
		}
		table := NewRouteTable(1, rules, nil, CallerLimits{})
		path := fmt.Sprintf("/p%d/x/y", count-1)
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			for b.Loop() {
				if table.Route("h.example", path) == nil {
					b.Fatal("no route")
				}
			}
		})
	}
}
