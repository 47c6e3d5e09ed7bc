package version

import (
	"os"
	"path/filepath"
	"testing"
	"time"
)

// exampleFiles returns the example files of the organisations.
func exampleFiles(t testing.TB, organisations ...string) []File {
	t.Helper()
	var files []File
	for _, organisation := range organisations {
		for _, name := range []string{"template.yaml", "organisation.yaml"} {
			path := filepath.Join("..", "examples", organisation, name)
			text, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			files = append(files, File{Name: organisation + "/" + name, Text: string(text)})
		}
	}
	return files
}

// exampleDocument returns the configuration of both organisations.
func exampleDocument(t testing.TB) Document {
	t.Helper()
	change := Change{OperationID: "first", Files: exampleFiles(t, "kodumala", "flavour-trials")}
	doc, err := Apply(Document{}, change, time.Unix(1000, 0), "asha")
	if err != nil {
		t.Fatal(err)
	}
	return doc
}

func TestExamplesRoute(t *testing.T) {
	snapshot, err := Compile(exampleDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		host, method, path string
		service            ServiceID
		route              string
		idempotent, key    bool
	}{
		{"kodumala.example", "GET", "/register-viewing/climbs/7", "kodumala/register-viewing", "lookup", true, false},
		{"Kodumala.Example:7000", "POST", "/entry-filing/entries", "kodumala/entry-filing", "file", false, true},
		{"kodumala.example.", "POST", "/certification/certificates", "kodumala/certification", "certify", false, true},
		{"kodumala.example", "GET", "/certification/certificates/9", "kodumala/certification", "lookup", true, false},
		{"kodumala.example", "HEAD", "/archive", "kodumala/archive", "lookup", true, false},
		{"flavour-trials.example", "POST", "/batches/bookings", "flavour-trials/batches", "book", false, true},
		{"flavour-trials.example", "POST", "/panels/scores", "flavour-trials/panels", "score", false, true},
		{"flavour-trials.example", "PUT", "/panels/enrolments/3", "flavour-trials/panels", "enrol", true, false},
		{"flavour-trials.example", "GET", "/labels/milk", "flavour-trials/labels", "lookup", true, false},
	}
	for _, test := range tests {
		service, route, err := snapshot.Route(test.host, test.method, test.path)
		if err != nil {
			t.Errorf("%s %s: %v", test.method, test.path, err)
			continue
		}
		if service.ID != test.service || route.Name != test.route || route.Idempotent != test.idempotent || route.IdempotencyKeyRequired != test.key {
			t.Errorf("%s %s: got %s %+v", test.method, test.path, service.ID, route)
		}
	}
	service := snapshot.Service("kodumala/entry-filing")
	if service.TargetLimits.Slots != 20 || service.TargetLimits.Connections != 250 || service.Partitions != 16 {
		t.Errorf("got %+v", service)
	}
}

func TestRouteErrors(t *testing.T) {
	snapshot, err := Compile(exampleDocument(t))
	if err != nil {
		t.Fatal(err)
	}
	tests := []struct{ host, method, path, want string }{
		{"other.example", "GET", "/archive/", `route: no organisation has the host "other.example"`},
		{"kodumala.example", "GET", "/recipes/", `route: no service of "kodumala.example" has the path "/recipes/"`},
		{"kodumala.example", "GET", "/archives/", `route: no service of "kodumala.example" has the path "/archives/"`},
		{"kodumala.example", "GET", "/archive/../entry-filing/", `route: no service of "kodumala.example" has the path "/archive/../entry-filing/"`},
		{"kodumala.example", "GET", "//archive/", `route: no service of "kodumala.example" has the path "//archive/"`},
		{"kodumala.example", "GET", "*", `route: no service of "kodumala.example" has the path "*"`},
		{"kodumala.example", "POST", "/entry-filing/entriesx", "route: kodumala/entry-filing allows GET, HEAD, not POST"},
		{"kodumala.example", "PUT", "/entry-filing/entries", "route: kodumala/entry-filing allows GET, HEAD, POST, not PUT"},
	}
	for _, test := range tests {
		_, _, err := snapshot.Route(test.host, test.method, test.path)
		if err == nil || err.Error() != test.want {
			t.Errorf("%s %s: got %v, want %s", test.method, test.path, err, test.want)
		}
	}
}
