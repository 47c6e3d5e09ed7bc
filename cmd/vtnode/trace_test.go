package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func TestTraceMergesNodesInTimeOrder(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	a := write("a", `{"time":"2026-01-01T00:00:02Z","event":"request","request":"x1"}
{"time":"2026-01-01T00:00:00Z","event":"request","request":"x2","err":"not x1"}
not JSON about x1
`)
	b := write("b", ` 0.1 node-b {"time":"2026-01-01T00:00:01Z","event":"gate_refused","request":"x1"}
`)
	found, err := trace("x1", []string{a, b})
	if err != nil || len(found) != 2 || !strings.Contains(found[0].text, "gate_refused") || !strings.Contains(found[1].text, `"request"`) {
		t.Fatalf("%v, %v", found, err)
	}
	if _, err := trace("x1", []string{filepath.Join(dir, "missing")}); err == nil {
		t.Fatal("no error for a missing file")
	}
}
