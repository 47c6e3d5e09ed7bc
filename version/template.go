package version

import (
	"strings"
)

// Values of the field "kind" of a YAML document.
const (
	documentKindTemplate     = "template"
	documentKindOrganisation = "organisation"
)

// template is a parsed template.
type template struct {
	name       string
	position   position
	parameters []*parameter
	// body is the body before substitution, with references to parameters.
	body *value
}

// organisationSpec is a parsed organisation. It names a template and sets values
// for the parameters of the template.
type organisationSpec struct {
	name     string
	position position
	// template is the name of the template.
	template string
	// templatePosition is the position at which the template is named.
	templatePosition position
	// values holds the set values by parameter name, in the order of the text.
	values []field
}

// readTemplate reads a document of the kind template. If it finds problems, it
// adds them and returns nil.
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

// checkBody checks the body with the default values of the parameters. Required
// parameters have no default and are unset, so fields that refer to them are not
// checked here.
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

// parameter returns the parameter with the given name, or nil.
func (t *template) parameter(name string) *parameter {
	for _, p := range t.parameters {
		if p.name == name {
			return p
		}
	}
	return nil
}

// parameterNames returns the names of the parameters for messages.
func (t *template) parameterNames() string {
	names := make([]string, len(t.parameters))
	for i, p := range t.parameters {
		names[i] = p.name
	}
	return strings.Join(names, ", ")
}

// readOrganisationSpec reads a document of the kind organisation. If it finds
// problems, it adds them and returns nil.
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

// render renders the template with the values of the organisation. If it finds
// problems, it adds them and returns nil. Problems in the body name the
// organisation, since their positions are in the template.
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

// resolveValues returns the values of all parameters of the template by name. A
// parameter without a value has its default. Values that are not valid, of
// unknown parameters or missing for required parameters are reported as problems.
func (spec *organisationSpec) resolveValues(t *template, ps *problems) map[string]*value {
	values := make(map[string]*value, len(t.parameters))
	for _, f := range spec.values {
		p := t.parameter(f.key)
		if p == nil {
			ps.addf(f.position, "the template %s has no such parameter; its parameters are %s", t.name, t.parameterNames())
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
			ps.addf(spec.position, "the template %s requires a value for the parameter %s", t.name, p.name)
		}
		values[p.name] = p.defaultValue
	}
	return values
}
