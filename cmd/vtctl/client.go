package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/node/admin"
	"verbenatrestle/request"
)

const (
	// dialTimeout limits the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxInconclusive is the number of inconclusive problem documents, such as those
	// of nodes that cannot reach the platform, after which the client gives up. Each
	// one may take as long as a node waits for the platform.
	maxInconclusive = 3
	// maxResponseBytes limits the size of a response.
	maxResponseBytes = 64 << 20
)

// call is one request to the administration API.
type call struct {
	method string
	path   string
	body   []byte
	header http.Header
	// operationID is the ID of the change. Empty for a call that changes nothing.
	operationID string
}

// client sends each call to one address after the other until one responds
// conclusively.
type client struct {
	addresses []string
	token     string
	http      *http.Client
}

func newClient(o *options) *client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	token := o.token
	if token == "" {
		token = o.envToken
	}
	return &client{
		addresses: splitAddresses(o.addresses),
		token:     token,
		http: &http.Client{
			Timeout:   o.timeout,
			Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true},
		},
	}
}

func splitAddresses(list string) []string {
	return strings.FieldsFunc(list, func(c rune) bool { return c == ',' || c == ' ' })
}

// do sends a call to one address after the other until one responds conclusively,
// and decodes a successful response into result. The error is a *failure.
func (c *client) do(ctx context.Context, call call, result any) error {
	if len(c.addresses) == 0 {
		return usageError("-a names no address")
	}
	// mayHaveChanged means that an address may have made the change.
	mayHaveChanged := false
	inconclusiveCount := 0
	var tried []string
	for _, address := range c.addresses {
		err := c.try(ctx, address, call, result)
		if err == nil {
			return nil
		}
		if err.conclusive {
			return finalFailure(err, call, mayHaveChanged)
		}
		mayHaveChanged = mayHaveChanged || err.mayHaveChanged
		tried = append(tried, err.message)
		if err.problem != nil {
			inconclusiveCount++
		}
		if inconclusiveCount == maxInconclusive || ctx.Err() != nil {
			break
		}
	}
	message := "no address gave a clear answer:\n" + strings.Join(tried, "\n")
	if mayHaveChanged && call.operationID != "" {
		return unknownFailure(call, message)
	}
	return &failure{code: exitUnreachable, message: message}
}

// attemptError is the failure of a call at one address.
type attemptError struct {
	*failure
	// conclusive means that the response is final, and no other address needs to be
	// tried.
	conclusive bool
	// mayHaveChanged means that the address may have made the change.
	mayHaveChanged bool
}

// finalFailure returns the failure for a conclusive response. If an earlier address
// may have made the change, the outcome is unknown, because a refusal proves
// nothing about it.
func finalFailure(err *attemptError, call call, mayHaveChanged bool) error {
	if mayHaveChanged && call.operationID != "" {
		return unknownFailure(call, "an earlier address gave no clear answer, and the last one refused: "+err.message)
	}
	return err.failure
}

func unknownFailure(call call, message string) error {
	return &failure{
		code: exitFailed,
		message: fmt.Sprintf("%s\nthe change may have been made; see vtctl history, or send it again with -operation-id %s",
			message, call.operationID),
	}
}

// try sends a call to one address.
func (c *client) try(ctx context.Context, address string, call call, result any) *attemptError {
	r, err := c.newRequest(ctx, address, call)
	if err != nil {
		return &attemptError{failure: &failure{code: exitUsage, message: err.Error()}, conclusive: true}
	}
	response, err := c.http.Do(r)
	if err != nil {
		return inconclusive(address, "send request", err, !isDialError(err))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return inconclusive(address, "read response", err, true)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(address, response, body)
	}
	if err := json.Unmarshal(body, result); err != nil {
		return inconclusive(address, "decode response", err, true)
	}
	return nil
}

func inconclusive(address, step string, err error, mayHaveChanged bool) *attemptError {
	message := errors.Wrapf(err, "%s at %s", step, address).Error()
	return &attemptError{failure: &failure{code: exitUnreachable, message: message}, mayHaveChanged: mayHaveChanged}
}

// isDialError reports whether the dial failed, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *client) newRequest(ctx context.Context, address string, call call) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, call.method, "http://"+address+call.path, bytes.NewReader(call.body))
	if err != nil {
		return nil, errors.Wrapf(err, "address %s", address)
	}
	for name, values := range call.header {
		r.Header[name] = values
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	if call.operationID != "" {
		r.Header.Set(admin.HeaderOperationID, call.operationID)
	}
	return r, nil
}

// refusal returns the error for an unsuccessful response. It is inconclusive if the
// outcome is unknown or the node could not reach the platform, since the next node
// may reach it.
func refusal(address string, response *http.Response, body []byte) *attemptError {
	var p admin.Problem
	media := response.Header.Get("Content-Type")
	if media != request.ContentTypeProblem || json.Unmarshal(body, &p) != nil {
		err := errors.Errorf("status %s, which is not an answer of the administration API", response.Status)
		return inconclusive(address, "read response", err, true)
	}
	unknown := p.Outcome == request.Unknown
	unavailable := p.Status == http.StatusServiceUnavailable
	return &attemptError{failure: problemFailure(address, &p), conclusive: !unknown && !unavailable, mayHaveChanged: unknown}
}
