package version

import (
	"strings"
)

// Values of the field "kind" of a document.
const (
	documentKindTemplate     = "template"
	documentKindOrganisation = "organisation"
)

// template is a parsed template.
type template struct {
	name       string
	position   position
	parameters []*parameter
	body       *value
}

// grant is a parsed organisation: the template that it names and the values
// that it gives to the template's parameters.
type grant struct {
	name             string
	position         position
	template         string
	templatePosition position
	values           []field
}

// readTemplate reads a document of the kind template. It returns nil if the
// document has problems.
func readTemplate(root *value, ps *problems) *template {
	before := ps.count
	r := newReader(root, ps)
	r.text("kind")
	t := &template{position: root.position, name: r.name("name")}
	r.text("description")
	r.requireField("body")
	t.body = r.field("body")
	for _, f := range r.mapField("parameters").value.fields {
		t.parameters = append(t.parameters, readParameter(f, ps))
	}
	r.checkUnknownFields()
	if ps.count > before || t.body == nil {
		return nil
	}
	t.checkBody(ps)
	if ps.count > before {
		return nil
	}
	return t
}

// checkBody checks the body with the defaults, and without a value for each
// parameter that has none.
func (t *template) checkBody(ps *problems) {
	values := make(map[string]*value, len(t.parameters))
	for _, p := range t.parameters {
		values[p.name] = p.defaultValue
		if p.defaultValue == nil {
			values[p.name] = &value{position: t.position, kind: kindUnset}
		}
	}
	s := &substitution{values: values, problems: ps}
	readBody(t.name, s.apply(t.body), ps)
}

// parameter returns the parameter of that name, or nil.
func (t *template) parameter(name string) *parameter {
	for _, p := range t.parameters {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (t *template) parameterNames() string {
	names := make([]string, len(t.parameters))
	for i, p := range t.parameters {
		names[i] = p.name
	}
	return strings.Join(names, ", ")
}

// readGrant reads a document of the kind organisation. It returns nil if the
// document has problems.
func readGrant(root *value, ps *problems) *grant {
	before := ps.count
	r := newReader(root, ps)
	r.text("kind")
	g := &grant{position: root.position, name: r.name("name"), template: r.name("template")}
	r.text("description")
	g.templatePosition = r.position("template")
	g.values = r.mapField("values").value.fields
	r.checkUnknownFields()
	if ps.count > before {
		return nil
	}
	return g
}

// stamp gives the template the organisation's values and returns the
// organisation, or nil after adding a problem.
func (g *grant) stamp(t *template, ps *problems) *Organisation {
	before, first := ps.count, len(ps.list)
	values := g.check(t, ps)
	if ps.count > before {
		return nil
	}
	s := &substitution{values: values, problems: ps}
	organisation := readBody(g.name, s.apply(t.body), ps)
	for i := first; i < len(ps.list); i++ {
		ps.list[i].Message += " (in organisation " + g.name + ")"
	}
	if ps.count > before {
		return nil
	}
	organisation.Template = t.name
	return organisation
}

// check returns the values of all parameters: given, else the default.
func (g *grant) check(t *template, ps *problems) map[string]*value {
	values := make(map[string]*value, len(t.parameters))
	for _, f := range g.values {
		p := t.parameter(f.key)
		if p == nil {
			ps.addf(f.position, "the template %s has no such parameter; it has %s", t.name, t.parameterNames())
			continue
		}
		p.checkValue(f.value, ps)
		values[f.key] = f.value
	}
	for _, p := range t.parameters {
		if values[p.name] != nil {
			continue
		}
		if p.defaultValue == nil {
			ps.addf(g.position, "the template %s needs a value for %s", t.name, p.name)
		}
		values[p.name] = p.defaultValue
	}
	return values
}
