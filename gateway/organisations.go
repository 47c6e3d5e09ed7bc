package gateway

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/connection/pipeline"
	"verbenatrestle/platform"
	"verbenatrestle/request"
	"verbenatrestle/version"
)

// headerOrganisation carries the caller of a request between nodes; see encodeCaller. Nodes of
// earlier builds do not set it.
const headerOrganisation = "Vt-Organisation"

// reasonKeyWithdrawn is the reason of an attempt that the target's node refused because its
// configuration, which is not older than the sender's, does not hold the caller's key.
const reasonKeyWithdrawn = "key-withdrawn"

// reasonKeyUnchecked is the reason of an attempt that the target's node refused because it has no
// configuration and the sender, a node of an earlier build, has not checked the caller.
const reasonKeyUnchecked = "key-unchecked"

// authenticationScheme is the challenge of a response with status 401.
const authenticationScheme = platform.HeaderKey

// identify returns the caller of a request, or the response to one without a valid key.
func (n *Node) identify(id string, r *pipeline.Request, rule *version.RouteRule, config *configSnapshot) (version.Caller, *pipeline.Response) {
	keys := r.Header.Values(platform.HeaderKey)
	caller, ok := config.routes.Identify(rule, keys)
	if ok {
		return caller, nil
	}
	now := time.Now()
	n.events.unknownKey(id, rule.Name, len(keys), config, n.configLag.newestKnown(), now)
	if n.configLag.outdated(config.number(), now) {
		return version.Caller{}, n.fail(id, outdated("authenticate"))
	}
	response := n.fail(id, &request.Failure{
		Status: http.StatusUnauthorized, Title: "no valid key", Outcome: request.NotRun, Step: "authenticate",
	})
	response.Header.Set("WWW-Authenticate", authenticationScheme)
	return version.Caller{}, response
}

// confirm checks the caller of a request of another node, and returns the caller as this node
// knows it, or the reason to refuse the request.
func (n *Node) confirm(r *pipeline.Request) (caller version.Caller, refused string, err error) {
	sent := r.Header.Get(headerOrganisation)
	caller, err = decodeCaller(sent)
	if err != nil {
		return version.Caller{}, "", err
	}
	id, config := r.Header.Get(platform.HeaderRequestID), n.config.snapshot()
	if config.routes == nil && sent == "" {
		n.events.keyUnchecked(id, r.RemoteAddr)
		return version.Caller{}, reasonKeyUnchecked, nil
	}
	if config.routes == nil {
		return caller, "", nil // as with any configuration that is older than the sender's
	}
	rule := config.routes.Route(r.Host, r.Path)
	confirmed, ok := config.routes.Confirm(rule, caller)
	if sent == "" { // nodes of earlier builds pass the key on
		confirmed, ok = config.routes.Identify(rule, r.Header.Values(platform.HeaderKey))
	}
	if !ok {
		n.events.keyWithdrawn(id, r.RemoteAddr, caller, config.number())
		return version.Caller{}, reasonKeyWithdrawn, nil
	}
	return confirmed, "", nil
}

// encodeCaller encodes a caller for headerOrganisation: the number of the configuration, and if
// there is a key, the priority, the digest of the key and the name of the organisation.
func encodeCaller(c version.Caller) string {
	if !c.HasKey {
		return strconv.FormatUint(c.Config, 10)
	}
	return strings.Join([]string{
		strconv.FormatUint(c.Config, 10), strconv.Itoa(c.Priority), c.Key.Encode(), c.Organisation,
	}, ";")
}

// callerFields is the number of fields of a caller with a key. The last one may contain the
// separator.
const callerFields = 4

// decodeCaller decodes the value of headerOrganisation. An empty value is the zero Caller.
func decodeCaller(text string) (version.Caller, error) {
	if text == "" {
		return version.Caller{}, nil
	}
	fields := strings.SplitN(text, ";", callerFields)
	config, err := strconv.ParseUint(fields[0], 10, 64)
	if err != nil {
		return version.Caller{}, errors.New("decode Vt-Organisation: want the number of a configuration")
	}
	caller := version.Caller{Config: config}
	if len(fields) == 1 {
		return caller, nil
	}
	if len(fields) != callerFields {
		return version.Caller{}, errors.Errorf("decode Vt-Organisation: want %d fields, got %d", callerFields, len(fields))
	}
	if caller.Priority, err = strconv.Atoi(fields[1]); err != nil {
		return version.Caller{}, errors.New("decode Vt-Organisation: want a number as priority")
	}
	if caller.Key, err = version.ParseKeyDigest(fields[2]); err != nil {
		return version.Caller{}, errors.Wrap(err, "decode Vt-Organisation")
	}
	caller.Organisation, caller.HasKey = fields[3], true
	return caller, nil
}
