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
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxInconclusive bounds how many addresses may answer that they could not reach
	// the platform. Each may take as long as a node waits for the platform.
	maxInconclusive = 3
	// maxAnswerBytes bounds an answer, in bytes.
	maxAnswerBytes = 64 << 20
)

// call is one request to the administration API.
type call struct {
	method string
	path   string
	body   []byte
	header http.Header
	// operationID names the change. Empty for a call that changes nothing.
	operationID string
}

// client sends calls to the first address that answers.
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

// do sends a call to one address after the other until one gives a clear
// answer, and decodes that into answer. The error is a *failure.
func (c *client) do(ctx context.Context, call call, answer any) error {
	if len(c.addresses) == 0 {
		return usageError("-a names no address")
	}
	// unsure tells that an address may have carried out the change.
	unsure := false
	unclear := 0
	var tried []string
	for _, address := range c.addresses {
		err := c.try(ctx, address, call, answer)
		if err == nil {
			return nil
		}
		if err.conclusive {
			return finalFailure(err, call, unsure)
		}
		unsure = unsure || err.mayHaveChanged
		tried = append(tried, err.message)
		if err.problem != nil {
			unclear++
		}
		if unclear == maxInconclusive || ctx.Err() != nil {
			break
		}
	}
	message := "no address gave a clear answer:\n" + strings.Join(tried, "\n")
	if unsure && call.operationID != "" {
		return unknownFailure(call, message)
	}
	return &failure{code: exitUnreachable, message: message}
}

// attemptError is the failure of a call at one address.
type attemptError struct {
	*failure
	// conclusive tells that the address answered, and no other need be asked.
	conclusive bool
	// mayHaveChanged tells that the address may have carried out the change.
	mayHaveChanged bool
}

// finalFailure returns the failure for a clear answer. A refusal proves
// nothing about an earlier address that may have made the change.
func finalFailure(err *attemptError, call call, unsure bool) error {
	if unsure && call.operationID != "" {
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
func (c *client) try(ctx context.Context, address string, call call, answer any) *attemptError {
	r, err := c.newRequest(ctx, address, call)
	if err != nil {
		return &attemptError{failure: &failure{code: exitUsage, message: err.Error()}, conclusive: true}
	}
	response, err := c.http.Do(r)
	if err != nil {
		return inconclusive(address, "send request", err, !isDialError(err))
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return inconclusive(address, "read answer", err, true)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(address, response, body)
	}
	if err := json.Unmarshal(body, answer); err != nil {
		return inconclusive(address, "decode answer", err, true)
	}
	return nil
}

func inconclusive(address, step string, err error, unsure bool) *attemptError {
	message := errors.Wrapf(err, "%s at %s", step, address).Error()
	return &attemptError{failure: &failure{code: exitUnreachable, message: message}, mayHaveChanged: unsure}
}

// isDialError reports whether no connection was opened, so that nothing was
// sent.
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

// refusal reads the answer of an address that did not carry out a call. A
// node that could not reach the platform is no reason not to ask the next.
func refusal(address string, response *http.Response, body []byte) *attemptError {
	var p admin.Problem
	media := response.Header.Get("Content-Type")
	if media != request.ContentTypeProblem || json.Unmarshal(body, &p) != nil {
		err := errors.Errorf("status %s, which is not an answer of the administration API", response.Status)
		return inconclusive(address, "read answer", err, true)
	}
	unknown := p.Outcome == request.Unknown
	unavailable := p.Status == http.StatusServiceUnavailable
	return &attemptError{failure: problemFailure(address, &p), conclusive: !unknown && !unavailable, mayHaveChanged: unknown}
}
