package soak

import "slices"

// alwaysAllowed reports whether every configuration allows the request.
func (c *CallerRecord) alwaysAllowed() bool { return c.Public || c.Key == KeyLasting }

// checkOrganisation checks that a request that ran was allowed to, and what the target was
// told about the caller.
func (r *Result) checkOrganisation(c *CallerRecord, run *RunRecord) {
	if run.HasKey {
		r.addViolation("unasked: %s brought %s a key", c.ID, run.Instance)
	}
	if run.CallerService == madeUpName {
		r.addViolation("unasked: %s ran with the service that its caller made up", c.ID)
	}
	if c.NodeService != "" && run.CallerService != c.NodeService {
		r.addViolation("unasked: %s ran for the service %q, that of its node is %q", c.ID, run.CallerService, c.NodeService)
	}
	var holder []string
	if c.Organisation != "" {
		holder = []string{c.Organisation}
	}
	if !slices.Equal(run.Organisations, holder) {
		r.addViolation("unasked: %s ran for organisations %q, its key belongs to %q", c.ID, run.Organisations, c.Organisation)
	}
	if !c.Public && (c.Key == KeyAbsent || c.Key == KeyUnknown) {
		r.addViolation("route: %s ran at %s, with key %q", c.ID, run.Instance, c.Key)
	}
}
