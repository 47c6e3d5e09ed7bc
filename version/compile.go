package version

// Compile renders the templates of a document for all organisations and returns
// the resulting snapshot, or an *InvalidError with all problems.
func Compile(doc Document) (*Snapshot, error) {
	ps := &problems{}
	organisations := renderAll(doc, false, ps)
	if err := ps.err(); err != nil {
		return nil, err
	}
	return NewSnapshot(doc.Version, doc.AcceptedAt, organisations, doc.DataCentresOut, doc.TargetsOut), nil
}

// Validate checks files as if they were the whole configuration. The error is
// an *InvalidError with all problems.
func Validate(files []File) error {
	ps := &problems{}
	set := readFiles(files, ps)
	doc := Document{Templates: set.templates, Organisations: set.organisations}
	renderAll(doc, set.incomplete, ps)
	return ps.err()
}

// renderAll renders all organisations and checks that no two of them have the
// same host. It leaves out organisations that can't be rendered. The argument
// incomplete means that some sources could not be read; a missing template is
// then not reported as a problem.
func renderAll(doc Document, incomplete bool, ps *problems) []*Organisation {
	templates, invalid := readTemplates(doc.Templates, ps)
	var organisations []*Organisation
	hosts := make(map[string]position)
	for _, source := range doc.Organisations {
		root := parseSource(source, ps)
		if root == nil {
			continue
		}
		spec := readOrganisationSpec(root, ps)
		if spec == nil || invalid[spec.template] {
			continue
		}
		t := templates[spec.template]
		if t == nil && !incomplete {
			ps.addf(spec.templatePosition, "there is no template %q", spec.template)
		}
		if t == nil {
			continue
		}
		organisation := spec.render(t, ps)
		if organisation == nil {
			continue
		}
		checkHosts(organisation, spec.position, hosts, ps)
		organisations = append(organisations, organisation)
	}
	return organisations
}

// readTemplates returns the valid templates by name, and the names of the
// templates with problems.
func readTemplates(sources []Source, ps *problems) (templates map[string]*template, invalid map[string]bool) {
	templates = make(map[string]*template, len(sources))
	invalid = make(map[string]bool)
	for _, source := range sources {
		invalid[source.Name] = true
		root := parseSource(source, ps)
		if root == nil {
			continue
		}
		if t := readTemplate(root, ps); t != nil {
			templates[source.Name] = t
			delete(invalid, source.Name)
		}
	}
	return templates, invalid
}

// checkHosts adds a problem for each host of the organisation that another
// organisation already has, and adds the remaining hosts to hosts. The argument
// pos is the position of the organisation.
func checkHosts(organisation *Organisation, pos position, hosts map[string]position, ps *problems) {
	for _, host := range organisation.Hosts {
		if other, ok := hosts[host]; ok {
			ps.addf(pos, "the host %s of %s belongs to the organisation at %s", host, organisation.Name, other)
			continue
		}
		hosts[host] = pos
	}
}
