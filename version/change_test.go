package version

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "verbenatrestle/internal/testseed"
)

var testTime = time.Unix(1000, 0)

func drawChange(t *rapid.T) Change {
	change := Change{
		OperationID: fmt.Sprintf("op-%d", rapid.IntRange(0, 20).Draw(t, "op")),
		Base:        uint64(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 5}).Draw(t, "base")),
	}
	name := rapid.SampledFrom([]string{"a", "b", "nowhere"}).Draw(t, "site")
	switch rapid.IntRange(0, 3).Draw(t, "what") {
	case 0:
		change.DataCentres = []AdminStateChange{{Name: name, OutOfService: rapid.Bool().Draw(t, "out")}}
	case 1:
		change.Targets = []AdminStateChange{{Name: "node-" + name, OutOfService: rapid.Bool().Draw(t, "out")}}
	case 2:
		slots := rapid.IntRange(0, 60).Draw(t, "slots")
		change.Files = []File{{"o.yaml", smallOrganisation + fmt.Sprintf("  slots: %d\n", slots)}}
	case 3:
		change.Files = []File{{"t.yaml", strings.Replace(smallTemplate, "max: 50", "max: 30", 1)}}
	}
	return change
}

// TestApplyIsAtomic checks with random sequences of changes that each change is
// either applied once and completely, as the next version, or leaves the
// document unchanged.
func TestApplyIsAtomic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		files := []File{{"f.yaml", smallTemplate + "---\n" + smallOrganisation}}
		doc, err := Apply(Document{}, Change{OperationID: "first", Files: files}, testTime, "asha")
		if err != nil {
			t.Fatal(err)
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			change := drawChange(t)
			_, known := doc.FindOperation(change.OperationID)
			next, err := Apply(doc, change, testTime, "asha")
			checkStep(t, doc, next, change, err, known)
			doc = next
		}
	})
}

func checkStep(t *rapid.T, doc, next Document, change Change, err error, known bool) {
	if err != nil || known {
		if !reflect.DeepEqual(doc, next) {
			t.Fatalf("%+v changed the document: %v", change, err)
		}
		return
	}
	if next.Version != doc.Version+1 || (change.Base != 0 && change.Base != doc.Version) {
		t.Fatalf("applied as version %d on version %d, base %d", next.Version, doc.Version, change.Base)
	}
	if len(next.History) != len(doc.History)+1 || next.History[len(doc.History)].OperationID != change.OperationID {
		t.Fatalf("history %+v", next.History)
	}
	if conflict := change.Conflict(doc, next); conflict != nil {
		t.Fatalf("the change conflicts with its own effect: %v", conflict)
	}
	snapshot, err := Compile(next)
	if err != nil || snapshot.Version() != next.Version {
		t.Fatalf("the accepted document does not compile: %v", err)
	}
	data, err := next.Encode()
	if err != nil {
		t.Fatal(err)
	}
	decoded, err := Decode(data)
	next.Format = documentFormat
	if err != nil || !reflect.DeepEqual(decoded, next) {
		t.Fatalf("decoded %+v, want %+v: %v", decoded, next, err)
	}
}

func TestHistoryIsBounded(t *testing.T) {
	var doc Document
	for i := range HistoryLimit + 10 {
		change := Change{OperationID: fmt.Sprint(i), Targets: []AdminStateChange{{Name: "n", OutOfService: i%2 == 0}}}
		next, err := Apply(doc, change, testTime, "asha")
		if err != nil {
			t.Fatal(err)
		}
		doc = next
	}
	if len(doc.History) != HistoryLimit || doc.History[0].Version != 11 || len(doc.ChangesSince(260)) != 6 {
		t.Fatalf("%d entries from version %d", len(doc.History), doc.History[0].Version)
	}
}

func TestConflictShowsChanges(t *testing.T) {
	base := exampleDocument(t)
	files := exampleFiles(t, "kodumala")
	files[1].Text = strings.Replace(files[1].Text, "slots: 20", "slots: 30", 1)
	current, err := Apply(base, Change{OperationID: "second", Files: files[1:]}, testTime, "binu")
	if err != nil {
		t.Fatal(err)
	}
	files[1].Text = strings.Replace(files[1].Text, "slots: 30", "slots: 40", 1)
	mine := Change{OperationID: "third", Files: files[1:]}
	const since = `; version 2 by binu at 1970-01-01T00:16:40Z: organisation kodumala: $.values.slots: "20" -> "30"`
	want := "conflict: version 1 was the base, 2 is in force; changed by others too: organisation kodumala" + since
	if err := mine.Conflict(base, current); err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
	other := Change{OperationID: "fourth", DataCentres: []AdminStateChange{{Name: "kochi-a", OutOfService: true}}}
	if err := other.Conflict(base, current); err != nil {
		t.Errorf("unrelated change: %v", err)
	}
	mine.Base = 1
	want = "conflict: version 1 was the base, 2 is in force" + since
	if _, err := Apply(current, mine, testTime, "asha"); err == nil || err.Error() != want {
		t.Errorf("got %v, want %s", err, want)
	}
}

func TestApplyRefuses(t *testing.T) {
	doc := exampleDocument(t)
	tests := []struct {
		change Change
		actor  string
		want   string
	}{
		{Change{}, "asha", "operation ID \"\" is empty"},
		{Change{OperationID: "x"}, "a b", "actor \"a b\" is empty, not printable ASCII"},
		{Change{OperationID: "x", DataCentres: []AdminStateChange{{Name: "kochi-z", OutOfService: true}}}, "asha",
			"command:1:1: $.data_centres.kochi-z: there is no such data centre; known data centres are burnie, devonport, kochi-a"},
		{Change{OperationID: "x", Targets: []AdminStateChange{{Name: "a b"}}}, "asha", `"a b" is not a valid node name`},
		{Change{OperationID: "first"}, "asha", "operation first made version 1 with another content"},
	}
	for _, test := range tests {
		_, err := Apply(doc, test.change, testTime, test.actor)
		if err == nil || !strings.Contains(err.Error(), test.want) {
			t.Errorf("got %v, want %s", err, test.want)
		}
	}
	var reused *ReusedOperationError
	if _, err := Apply(doc, Change{OperationID: "first"}, testTime, "a"); !errors.As(err, &reused) {
		t.Errorf("got %v", err)
	}
}

func TestEncodeBounds(t *testing.T) {
	// noise compresses to more than MaxEncodedBytes.
	state := uint64(1)
	noise := make([]byte, 3<<20)
	for i := range noise {
		state = state*6364136223846793005 + 1442695040888963407
		noise[i] = 'a' + byte(state>>33)%26
	}
	doc := Document{Templates: []Source{{Name: "t", Text: string(noise)}}}
	if _, err := doc.Encode(); err == nil || !strings.Contains(err.Error(), "bytes compressed, at most 1048576 are allowed by the platform") {
		t.Errorf("got %v", err)
	}
	doc.Templates[0].Text = strings.Repeat("a", maxDecodedBytes)
	if _, err := doc.Encode(); err == nil || !strings.Contains(err.Error(), "of JSON, at most") {
		t.Errorf("got %v", err)
	}
	for _, data := range [][]byte{nil, []byte("garbage"), make([]byte, MaxEncodedBytes+1)} {
		if _, err := Decode(data); err == nil {
			t.Errorf("%d bytes were decoded", len(data))
		}
	}
}
