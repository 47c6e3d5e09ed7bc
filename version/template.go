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

// organisationSpec is a parsed organisation: the template that it names and the values
// that it gives to the template's parameters.
type organisationSpec struct {
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

// readOrganisationSpec reads a document of the kind organisation. It returns nil if the
// document has problems.
func readOrganisationSpec(root *value, ps *problems) *organisationSpec {
	before := ps.count
	r := newReader(root, ps)
	r.text("kind")
	spec := &organisationSpec{position: root.position, name: r.name("name"), template: r.name("template")}
	r.text("description")
	spec.templatePosition = r.position("template")
	spec.values = r.mapField("values").value.fields
	r.checkUnknownFields()
	if ps.count > before {
		return nil
	}
	return spec
}

// render gives the template the organisation's values and returns the
// organisation, or nil after adding a problem.
func (spec *organisationSpec) render(t *template, ps *problems) *Organisation {
	before, first := ps.count, len(ps.list)
	values := spec.resolveValues(t, ps)
	if ps.count > before {
		return nil
	}
	s := &substitution{values: values, problems: ps}
	organisation := readBody(spec.name, s.apply(t.body), ps)
	for i := first; i < len(ps.list); i++ {
		ps.list[i].Message += " (in organisation " + spec.name + ")"
	}
	if ps.count > before {
		return nil
	}
	organisation.Template = t.name
	return organisation
}

// resolveValues returns the values of all parameters: given, else the default.
func (spec *organisationSpec) resolveValues(t *template, ps *problems) map[string]*value {
	values := make(map[string]*value, len(t.parameters))
	for _, f := range spec.values {
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
			ps.addf(spec.position, "the template %s needs a value for %s", t.name, p.name)
		}
		values[p.name] = p.defaultValue
	}
	return values
}
