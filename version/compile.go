package version

// Compile stamps a document out for every organisation and returns the
// snapshot, or an *InvalidError with everything that is wrong.
func Compile(doc Document) (*Snapshot, error) {
	ps := &problems{}
	organisations := stampAll(doc, false, ps)
	if err := ps.err(); err != nil {
		return nil, err
	}
	return NewSnapshot(doc.Version, doc.AcceptedAt, organisations, doc.DataCentresOut, doc.TargetsOut), nil
}

// Validate checks files by themselves, as if they were the whole
// configuration. The error is an *InvalidError.
func Validate(files []File) error {
	ps := &problems{}
	set := readFiles(files, ps)
	doc := Document{Templates: set.templates, Organisations: set.organisations}
	stampAll(doc, set.incomplete, ps)
	return ps.err()
}

// stampAll stamps out every organisation and checks them against each other.
// If the document is incomplete, a missing template is no problem.
func stampAll(doc Document, incomplete bool, ps *problems) []*Organisation {
	templates, broken := readTemplates(doc.Templates, ps)
	var organisations []*Organisation
	hosts := make(map[string]position)
	for _, source := range doc.Organisations {
		root := parseSource(source, ps)
		if root == nil {
			continue
		}
		g := readGrant(root, ps)
		if g == nil || broken[g.template] {
			continue
		}
		t := templates[g.template]
		if t == nil && !incomplete {
			ps.addf(g.templatePosition, "there is no template %q", g.template)
		}
		if t == nil {
			continue
		}
		organisation := g.stamp(t, ps)
		if organisation == nil {
			continue
		}
		checkHosts(organisation, g.position, hosts, ps)
		organisations = append(organisations, organisation)
	}
	return organisations
}

// readTemplates returns the templates by name, and the names of those that
// have problems of their own.
func readTemplates(sources []Source, ps *problems) (templates map[string]*template, broken map[string]bool) {
	templates = make(map[string]*template, len(sources))
	broken = make(map[string]bool)
	for _, source := range sources {
		broken[source.Name] = true
		root := parseSource(source, ps)
		if root == nil {
			continue
		}
		if t := readTemplate(root, ps); t != nil {
			templates[source.Name] = t
			delete(broken, source.Name)
		}
	}
	return templates, broken
}

// checkHosts adds a problem for each host that another organisation has.
func checkHosts(organisation *Organisation, pos position, hosts map[string]position, ps *problems) {
	for _, host := range organisation.Hosts {
		if other, ok := hosts[host]; ok {
			ps.addf(pos, "the host %s of %s belongs to the organisation at %s", host, organisation.Name, other)
			continue
		}
		hosts[host] = pos
	}
}
