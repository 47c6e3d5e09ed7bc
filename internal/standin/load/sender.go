package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/target"
	"verbenatrestle/internal/wait"
	"verbenatrestle/request"
)

const (
	// maxIdleConnections is the maximum number of idle connections to one ingress.
	maxIdleConnections = 512
	// dialTimeout limits the opening of a connection.
	dialTimeout = time.Second
	// timeoutSlack is how much longer the sender waits than the timeout in the
	// request, so that it can receive the response that reports the timeout.
	timeoutSlack = 250 * time.Millisecond
	// maxResponseBytes is one more than the largest valid response, so that a
	// longer one is detected.
	maxResponseBytes = target.MaxResponseBytes + 1
	// retryDelay is the mean delay before a retry, unless Retry-After sets one or
	// the dial failed, after which the retry is immediate.
	retryDelay = 50 * time.Millisecond
)

// sender sends operations to ingress nodes.
type sender struct {
	config *Config
	client *http.Client
	tally  *tally
}

func newSender(config *Config, tally *tally) *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &sender{config: config, client: &http.Client{Transport: transport}, tally: tally}
}

// run sends one copy of an operation until its result is final or MaxAttempts
// is reached. offset shifts the rotation of the ingress addresses, so that two
// copies take different ones.
func (s *sender) run(ctx context.Context, op *operation, offset int) result {
	last := notRun
	for i := range s.config.MaxAttempts {
		ingresses := s.ingresses(op.class)
		ingress := ingresses[(op.firstIngress+offset+i)%len(ingresses)]
		got, delay := s.attempt(ctx, op, ingress)
		if got.final() {
			return got
		}
		last = max(last, got)
		if i+1 == s.config.MaxAttempts {
			break
		}
		s.tally.countRetry()
		if !wait.For(ctx, delay) {
			break
		}
	}
	return last
}

// ingresses returns the ingress addresses of a class.
func (s *sender) ingresses(class *Class) []string {
	if len(class.Ingresses) > 0 {
		return class.Ingresses
	}
	return s.config.Ingresses
}

// host returns the Host header of requests of a class.
func (s *sender) host(class *Class) string {
	if class.Host != "" {
		return class.Host
	}
	return s.config.Mix.Host
}

// attempt sends an operation once. It returns the result and the delay before
// the next attempt.
func (s *sender) attempt(ctx context.Context, op *operation, ingress string) (result, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout+timeoutSlack)
	defer cancel()
	r, err := s.newRequest(ctx, op, ingress)
	if err != nil {
		return notRun, jitter(retryDelay)
	}
	started := time.Now()
	response, err := s.client.Do(r)
	if err != nil {
		return s.classifyError(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		s.tally.countNoResponse("answer broke off")
		return unknown, jitter(retryDelay)
	}
	if response.StatusCode == http.StatusOK {
		s.tally.recordOverhead(op, time.Since(started), response.Header)
		return op.check(body), 0
	}
	got := outcome(response)
	s.tally.countFailure(failureReason(response.StatusCode, body))
	if got == notRun {
		s.tally.recordRefusal(time.Since(started))
	}
	return got, s.retryAfter(response)
}

func (s *sender) newRequest(ctx context.Context, op *operation, ingress string) (*http.Request, error) {
	url := "http://" + ingress + op.uri()
	r, err := http.NewRequestWithContext(ctx, op.class.Method, url, op.bodyReader())
	if err != nil {
		return nil, errors.Wrapf(err, "make request to %s", ingress)
	}
	r.ContentLength = int64(len(op.body))
	r.Host = s.host(op.class)
	r.Header.Set(target.HeaderNonce, op.nonce)
	r.Header.Set(target.HeaderSize, strconv.Itoa(op.class.ResponseBytes))
	r.Header.Set(request.HeaderTimeout, strconv.FormatInt(s.config.Timeout.Milliseconds(), 10))
	if op.class.Crash {
		r.Header.Set(target.HeaderCrash, "1")
	}
	if op.key != "" {
		r.Header.Set(request.HeaderIdempotencyKey, op.key)
	}
	return r, nil
}

// classifyError returns the result of an attempt without a response, and the
// delay before the next one. Only a failed dial proves that the request did not
// run.
func (s *sender) classifyError(err error) (result, time.Duration) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		s.tally.countNoResponse("no connection")
		return notRun, 0
	case errors.Is(err, context.DeadlineExceeded):
		s.tally.countNoResponse("timeout")
	default:
		s.tally.countNoResponse("connection broke")
	}
	return unknown, jitter(retryDelay)
}

// failureReason returns a short description of why an attempt was not answered
// by a target.
func failureReason(status int, body []byte) string {
	var failure request.Failure
	if json.Unmarshal(body, &failure) != nil || failure.Step == "" {
		return fmt.Sprintf("status %d", status)
	}
	if slices.Contains(stepsWithDetail, failure.Step) {
		return fmt.Sprintf("status %d at %s: %s, %s", status, failure.Step, failure.Title, failure.Detail)
	}
	return fmt.Sprintf("status %d at %s: %s", status, failure.Step, failure.Title)
}

// stepsWithDetail lists the steps whose details come from a fixed set of texts
// and can therefore be part of a counted reason.
var stepsWithDetail = []string{"admit", "claim"}

// outcome returns the result that a failure response reports. Without an
// outcome header the result is unknown.
func outcome(response *http.Response) result {
	switch request.Outcome(response.Header.Get(request.HeaderOutcome)) {
	case request.NotRun:
		return notRun
	case request.Done:
		return done
	}
	return unknown
}

// retryAfter returns the jittered delay that the Retry-After header of a
// response asks for, limited by RetryAfterCap.
func (s *sender) retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return jitter(retryDelay)
	}
	return jitter(min(time.Duration(seconds)*time.Second, s.config.RetryAfterCap))
}

// jitter returns a random duration between 0.5 and 1.5 times the mean. It uses
// the global random source, because responses arrive in no fixed order and a
// seed would not make the delays reproducible.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
