package version

import (
	"errors"
	"strings"
	"testing"
)

const smallTemplate = `kind: template
name: small
parameters:
  host: {type: string, required: true}
  slots: {type: integer, default: 20, min: 1, max: 50}
  share: {type: number, default: 1.5, min: 0.5}
  wait: {type: duration, default: 1s, max: 2s}
  sites: {type: strings, default: [a, b], allowed: [a, b, c]}
  hedge: {type: boolean, default: true}
  mode: {type: string, default: fast, allowed: [fast, slow]}
body:
  hosts: ["${host}"]
  data_centres: ${sites}
  limits: {rate_per_second: "${share}"}
  services:
    - name: entries
      path_prefix: /entries/
      target: {slots: "${slots}"}
      routes:
        - name: file
          methods: [POST]
          path_prefix: /entries/${mode}
          idempotent: false
          timeout: ${wait}
        - {name: read, methods: [GET], path_prefix: /entries/, idempotent: true, hedge: "${hedge}"}
`

const smallOrganisation = `kind: organisation
name: club
template: small
values:
  host: club.example
`

// TestRenderParameterTypes checks that values of each parameter type reach the rendered
// organisation and its services.
func TestRenderParameterTypes(t *testing.T) {
	values := "  slots: 7\n  share: 3\n  wait: 250ms\n  sites: [c]\n  hedge: false\n  mode: slow\n"
	files := []File{{"t.yaml", smallTemplate + "---\r\n" + smallOrganisation + values}}
	doc, err := Apply(Document{}, Change{OperationID: "x", Files: files}, testTime, "asha")
	if err != nil {
		t.Fatal(err)
	}
	snapshot, err := Compile(doc)
	if err != nil {
		t.Fatal(err)
	}
	organisation := snapshot.Organisation("club")
	service := snapshot.Service("club/entries")
	file := service.RouteByName("file")
	if organisation.DataCentres[0] != "c" || organisation.Limits.RatePerSecond != 3 || organisation.Limits.Burst != 3 {
		t.Errorf("got %+v", organisation)
	}
	if service.TargetLimits.Slots != 7 || service.RouteByName("read").Hedge {
		t.Errorf("got %+v", service)
	}
	if file.PathPrefix != "/entries/slow" || file.Timeout.String() != "250ms" || file.MaxBodyBytes != defaultBodyBytes {
		t.Errorf("got %+v", file)
	}
}

// TestInvalid makes one change in the small template or organisation and checks
// the problem that is reported, with its file, line, column and path.
func TestInvalid(t *testing.T) {
	tests := []struct{ old, new, want string }{
		{"name: small\n", "name: small\nowner: me\n", "t.yaml:3:1: $.owner: unknown field; known fields are kind, name, description, body, parameters"},
		{"kind: template", "kind: templates", `t.yaml:1:7: $.kind: "templates" is not a kind of document; kinds are template and organisation`},
		{"name: small\n", "", "t.yaml:1:1: $: the field name is missing"},
		{"name: small\n", "name: Small\n", `t.yaml:2:7: $.name: "Small" is not a valid name: use at most 63 lower-case letters, digits and inner hyphens`},
		{"name: small\n", "name: small\nname: small\n", `t.yaml:3:1: $: mapping key "name" already defined at [2:1]`},
		{"  hosts: [\"${host}\"]", "  hosts: [\"${host}\"", "t.yaml:13:3: $: ',' or ']' must be specified"},
		{"type: integer, default: 20", "type: int, default: 20", `t.yaml:5:17: $.parameters.slots.type: "int" is not a parameter type; types are string, integer, number, duration, boolean, strings`},
		{"default: 20", "default: 60", "t.yaml:5:35: $.parameters.slots.default: slots is 60, above its max 50"},
		{"min: 1, max: 50", "min: 51, max: 50", "t.yaml:5:44: $.parameters.slots.min: min 51 is above max 50"},
		{"default: 20", "default: \"20\"", `t.yaml:5:35: $.parameters.slots.default: want an integer, got string "20"`},
		{"default: 1s", "default: 1", `t.yaml:7:35: $.parameters.wait.default: want a duration with a unit (such as 250ms), got integer "1"`},
		{"default: fast, ", "", "t.yaml:10:9: $.parameters.mode: the parameter needs either a default or required: true"},
		{"default: fast,", "default: quick,", `t.yaml:10:33: $.parameters.mode.default: mode is "quick"; allowed values are fast, slow`},
		{"default: [a, b], ", "default: [a, z], ", `t.yaml:8:39: $.parameters.sites.default[1]: sites is "z"; allowed values are a, b, c`},
		{"default: true", "default: true, min: 1", "t.yaml:9:10: $.parameters.hedge: a parameter of type boolean can't have min or max"},
		{"${sites}", "${places}", `t.yaml:13:17: $.body.data_centres: the template has no parameter "places"`},
		{"/entries/${mode}", "/entries/${mode", "t.yaml:22:24: $.body.services[0].routes[0].path_prefix: a reference ${ is not closed by }"},
		{"/entries/${mode}", "/entries/${sites}", "t.yaml:22:24: $.body.services[0].routes[0].path_prefix: the list ${sites} can't be used inside a string"},
		{"/entries/${mode}", "/other/${mode}", "t.yaml:20:11: $.body.services[0].routes[0]: the route's path prefix /other/fast is not below the service's path prefix /entries/"},
		{"/entries/${mode}", "/entries/../x", `t.yaml:22:24: $.body.services[0].routes[0].path_prefix: "/entries/../x" is not an absolute path without empty, . and .. segments`},
		{"methods: [POST]", "methods: [post]", `t.yaml:21:20: $.body.services[0].routes[0].methods: "post" is not a supported method; supported methods are DELETE, GET, HEAD, OPTIONS, PATCH, POST, PUT`},
		{"methods: [POST]", "methods: []", "t.yaml:21:20: $.body.services[0].routes[0].methods: the list is empty"},
		{"idempotent: false", "hedge: true", "t.yaml:20:11: $.body.services[0].routes[0]: the field idempotent is missing"},
		{"idempotent: false", "idempotent: false\n          hedge: true", "t.yaml:24:18: $.body.services[0].routes[0].hedge: only an idempotent route may be hedged"},
		{"timeout: ${wait}", "timeout: 11m", "t.yaml:24:20: $.body.services[0].routes[0].timeout: 11m0s is not in the range from 1ms to 10m0s"},
		{"timeout: ${wait}", "timeot: ${wait}", "t.yaml:24:11: $.body.services[0].routes[0].timeot: unknown field; known fields are idempotent, name, methods, path_prefix, key_required, timeout, hedge, max_body_bytes"},
		{"slots: \"${slots}\"", "slots: \"${wait}\"", `t.yaml:18:23: $.body.services[0].target.slots: want an integer, got string "1s" (from the value of wait at t.yaml:7:35)`},
		{"limits: {rate_per_second: \"${share}\"}", "limits: {burst: 3}", "t.yaml:14:19: $.body.limits.burst: burst requires rate_per_second"},
		{"      target:", "      partitions: 2000\n      target:", "t.yaml:18:19: $.body.services[0].partitions: 2000 is not in the range from 1 to 1024"},
		{"name: read, methods: [GET], path_prefix: /entries/,", "name: read, methods: [POST], path_prefix: /entries/fast,", "t.yaml:25:11: $.body.services[0].routes[1]: POST /entries/fast is already handled by the route file"},
		{"name: read,", "name: file,", "t.yaml:25:11: $.body.services[0].routes[1]: the route file is defined twice"},
		{"  hosts: [", "  hosts: &h [", "t.yaml:12:10: $.body.hosts: the YAML type Anchor is not supported"},
		{"  hosts:", strings.Repeat(" ", maxLineBytes) + "hosts:", "t.yaml:1:1: $: a line has 4115 bytes, at most 4096 are allowed"},
		{"  hosts: [", "  hosts: [" + strings.Repeat("[", 30), "t.yaml:1:1: $: brackets are nested deeper than 24"},
		{"  share: {type: number, default: 1.5,", "  share: {type: number, default: .inf,", "t.yaml:6:34: $.parameters.share.default: the number is out of range"},
		{"  share:", "  Share-x:", `t.yaml:6:3: $.parameters.Share-x: "Share-x" is not a valid parameter name: use lower-case letters, digits and underscores`},
		{"template: small", "template: large", `o.yaml:5:11: $.template: there is no template "large"`},
		{"  host: club.example", "  host: club.example\n  slot: 3", "o.yaml:8:3: $.values.slot: the template small has no such parameter; its parameters are host, slots, share, wait, sites, hedge, mode"},
		{"  host: club.example", "  slots: 3", "o.yaml:3:1: $: the template small requires a value for the parameter host"},
		{"  host: club.example", "  host: club.example\n  slots: 51", "o.yaml:8:10: $.values.slots: slots is 51, above its max 50"},
		{"  host: club.example", "  host: club.example\n  wait: 3s", "o.yaml:8:9: $.values.wait: wait is 3s, above its max 2s"},
		{"  host: club.example", "  host: Club.example", `t.yaml:12:10: $.body.hosts: "Club.example" is not a lower-case host name without port (in organisation club)`},
		{"  host: club.example", "  host: 7", `o.yaml:7:9: $.values.host: want a string, got integer "7"`},
		{"values:\n", "values: 3\nx:\n", `o.yaml:6:9: $.values: want a map, got integer "3"`},
	}
	for _, test := range tests {
		template := strings.Replace(smallTemplate, test.old, test.new, 1)
		organisation := strings.Replace(smallOrganisation, test.old, test.new, 1)
		if template == smallTemplate && organisation == smallOrganisation {
			t.Fatalf("%q is not in the texts", test.old)
		}
		// The two leading lines show that lines are counted from the start of the file.
		err := Validate([]File{{"t.yaml", template}, {"o.yaml", "# a\n---\n" + organisation}})
		var invalid *InvalidError
		if !errors.As(err, &invalid) {
			t.Errorf("%q: got %v, want %s", test.new, err, test.want)
			continue
		}
		if !strings.Contains(err.Error()+"\n", test.want+"\n") {
			t.Errorf("%q: got\n%v\nwant\n%s", test.new, err, test.want)
		}
	}
}

// TestValidateReportsAllProblems checks that the problems of several files are reported
// together, sorted and without duplicates.
func TestValidateReportsAllProblems(t *testing.T) {
	second := strings.ReplaceAll(smallOrganisation, "club", "team")
	third := strings.Replace(smallOrganisation, "name: club", "name: twin", 1)
	files := []File{
		{"t.yaml", smallTemplate},
		{"o.yaml", smallOrganisation + "  slots: 0\n---\n" + second + "  wait: 9s\n  hedge: 1\n"},
		{"p.yaml", strings.Replace(smallOrganisation, "name: club", "name: one", 1) + "---\n" + third + "---\n" + third},
		{"empty.yaml", "# nothing\n---\n"},
	}
	want := `empty.yaml:1:1: $: the file holds no document
o.yaml:6:10: $.values.slots: slots is 0, below its min 1
o.yaml:13:9: $.values.wait: wait is 9s, above its max 2s
o.yaml:14:10: $.values.hedge: want true or false, got integer "1"
p.yaml:7:1: $: the host club.example of twin belongs to the organisation at p.yaml:1:1
p.yaml:13:1: $: the organisation twin is already defined at p.yaml:6`
	if err := Validate(files); err == nil || err.Error() != want {
		t.Errorf("got\n%v\nwant\n%s", err, want)
	}
}

// Values of a string parameter that look like durations are still texts: they are
// allowed only if they are written alike. Durations are compared by their length.
func TestAllowedValuesCompareByType(t *testing.T) {
	text := func(s string) *value { return &value{kind: kindString, text: s} }
	for _, test := range []struct {
		valueType parameterType
		value     string
		want      bool
	}{{typeString, "60s", false}, {typeString, "1m", true}, {typeDuration, "60s", true}, {typeDuration, "61s", false}} {
		p := parameter{name: "p", valueType: test.valueType, allowed: []*value{text("1m")}}
		if got := p.equal(text(test.value), p.allowed[0]); got != test.want {
			t.Errorf("%s %s equals 1m: %t", test.valueType, test.value, got)
		}
	}
}
