package gateway

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenatrestle/platform"
	"verbenatrestle/platform/standin"
)

// largeConfig returns a configuration with many further routes.
func largeConfig(version, routes int) []byte {
	var more strings.Builder
	for i := range routes {
		fmt.Fprintf(&more, `{"name":"x-%d","host":"h","pathPrefix":"/x%d/","kind":"idempotent","timeoutS":2,"targetLatencyS":0.5,"priority":1,"service":"s","maxAttempts":2},`, i, i)
	}
	return bytes.Replace(standin.ConfigForServices(version, "s"), []byte(`"routes":[`), []byte(`"routes":[`+more.String()), 1)
}

// A configuration with 1,400 routes has to cross the link of a small VM many times, so
// it must be far shorter between nodes.
func TestDocumentOfManyRoutesIsShort(t *testing.T) {
	text := largeConfig(1, 1400)
	document, err := newConfigDocument(text)
	if err != nil {
		t.Fatal(err)
	}
	back, err := document.text()
	if err != nil || !bytes.Equal(back, text) {
		t.Fatalf("%d bytes back of %d, %v", len(back), len(text), err)
	}
	if len(document) > len(text)/8 {
		t.Fatalf("%d bytes of %d", len(document), len(text))
	}
	if _, err := document[:len(document)/2].text(); err == nil {
		t.Fatal("a document that was cut short is accepted")
	}
}

// Configurations follow each other within milliseconds. Each node has to end with the
// newest one and must never go back, and the routes of the last one are served.
func TestQuickSuccessionOfConfigurations(t *testing.T) {
	f := newTestFleet(t)
	f.store.Put("config", "main", largeConfig(1, 1400))
	for range 4 {
		f.add(quick)
	}
	f.settled(1)
	for version := 2; version <= 12; version++ {
		f.store.Put("config", "main", largeConfig(version, 1400-version))
		time.Sleep(40 * time.Millisecond)
	}
	f.settled(12)
	for _, n := range f.nodes {
		if got := n.call(t, http.MethodGet, "/x1387/1", "id-"+n.settings.Name, ""); got.status != http.StatusOK {
			t.Errorf("%s: route of the last version: %d", n.settings.Name, got.status)
		}
		if got := n.call(t, http.MethodGet, "/x1388/1", "no-"+n.settings.Name, ""); got.status != http.StatusNotFound {
			t.Errorf("%s: dropped route: %d", n.settings.Name, got.status)
		}
		last := 0
		for line := range strings.Lines(n.log.String()) {
			var number, was int
			if _, err := fmt.Sscanf(line, `{"config":%d,"event":"config","node":`, &number); err == nil {
				_ = was
				if number < last {
					t.Errorf("%s went back from %d to %d", n.settings.Name, last, number)
				}
				last = number
			}
		}
	}
}

// The next of many configurations differs from the last one in a few routes.
func BenchmarkDecodeManyRoutes(b *testing.B) {
	texts := [][]byte{largeConfig(1, 1400), largeConfig(2, 1399)}
	b.Run("first", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := platform.DecodeRoutes(texts[0]); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("next", func(b *testing.B) {
		b.ReportAllocs()
		var decoder platform.RouteDecoder
		for i := 0; b.Loop(); i++ {
			if _, err := decoder.Decode(texts[i%2]); err != nil {
				b.Fatal(err)
			}
		}
	})
}
