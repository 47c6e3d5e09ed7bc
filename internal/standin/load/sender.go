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
	// idleConnections bounds the open connections to one ingress.
	idleConnections = 512
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// timeoutSlack is how long the sender waits beyond the deadline that it
	// gives, for the answer that the deadline has passed.
	timeoutSlack = 250 * time.Millisecond
	// maxAnswerBytes bounds an answer.
	maxAnswerBytes = target.MaxResponseBytes + 1
	// resendDelay is the mean delay after a send whose end is not known.
	resendDelay = 50 * time.Millisecond
)

// sender sends operations.
type sender struct {
	config *Config
	client *http.Client
	tally  *tally
}

func newSender(config *Config, tally *tally) *sender {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: idleConnections,
		DisableCompression:  true,
	}
	return &sender{config: config, client: &http.Client{Transport: transport}, tally: tally}
}

// run sends one copy of an operation until its result is final or the sends
// are used up.
func (s *sender) run(ctx context.Context, op *operation, offset int) result {
	last := notRun
	for i := range s.config.MaxAttempts {
		ingresses := s.ingresses(op.class)
		ingress := ingresses[(op.first+offset+i)%len(ingresses)]
		sent, delay := s.send(ctx, op, ingress)
		if sent.final() {
			return sent
		}
		last = max(last, sent)
		if i+1 == s.config.MaxAttempts {
			break
		}
		s.tally.resent()
		if !wait.For(ctx, delay) {
			break
		}
	}
	return last
}

// ingresses returns the addresses that the class is sent to.
func (s *sender) ingresses(class *Class) []string {
	if len(class.Ingresses) > 0 {
		return class.Ingresses
	}
	return s.config.Ingresses
}

// host returns the name that callers of the class use.
func (s *sender) host(class *Class) string {
	if class.Host != "" {
		return class.Host
	}
	return s.config.Mix.Host
}

// send sends an operation once. It returns the result and how long to wait
// before the next send.
func (s *sender) send(ctx context.Context, op *operation, ingress string) (result, time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, s.config.Timeout+timeoutSlack)
	defer cancel()
	r, err := s.newRequest(ctx, op, ingress)
	if err != nil {
		return notRun, jitter(resendDelay)
	}
	started := time.Now()
	response, err := s.client.Do(r)
	if err != nil {
		return s.failed(err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		s.tally.broke("answer broke off")
		return unknown, jitter(resendDelay)
	}
	if response.StatusCode == http.StatusOK {
		s.tally.added(op, time.Since(started), response.Header)
		return op.check(body), 0
	}
	sent := outcome(response)
	s.tally.failed(reason(response.StatusCode, body))
	if sent == notRun {
		s.tally.refused(time.Since(started))
	}
	return sent, s.retryAfter(response)
}

func (s *sender) newRequest(ctx context.Context, op *operation, ingress string) (*http.Request, error) {
	url := "http://" + ingress + op.uri()
	r, err := http.NewRequestWithContext(ctx, op.class.Method, url, op.newBody())
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

// failed tells the result of a send without an answer.
func (s *sender) failed(err error) (result, time.Duration) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		s.tally.broke("no connection")
		return notRun, 0
	case errors.Is(err, context.DeadlineExceeded):
		s.tally.broke("timeout")
	default:
		s.tally.broke("connection broke")
	}
	return unknown, jitter(resendDelay)
}

// reason says in a few words why a send got no answer of a target.
func reason(status int, body []byte) string {
	var failure request.Failure
	if json.Unmarshal(body, &failure) != nil || failure.Step == "" {
		return fmt.Sprintf("status %d", status)
	}
	if slices.Contains(reasonSteps, failure.Step) {
		return fmt.Sprintf("status %d at %s: %s, %s", status, failure.Step, failure.Title, failure.Detail)
	}
	return fmt.Sprintf("status %d at %s: %s", status, failure.Step, failure.Title)
}

// reasonSteps are the steps whose details are of a fixed set, and so tell
// reasons apart.
var reasonSteps = []string{"admit", "claim"}

// outcome reads what a failure tells. One that tells nothing is unknown.
func outcome(response *http.Response) result {
	switch request.Outcome(response.Header.Get(request.HeaderOutcome)) {
	case request.NotRun:
		return notRun
	case request.Done:
		return done
	}
	return unknown
}

// retryAfter returns the wait that the answer asks for, at most the cap.
func (s *sender) retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds <= 0 {
		return jitter(resendDelay)
	}
	return jitter(min(time.Duration(seconds)*time.Second, s.config.RetryAfterCap))
}

// jitter returns a duration between half and three halves of mean. It takes
// the global random source, since answers come in no fixed order.
func jitter(mean time.Duration) time.Duration {
	return mean/2 + rand.N(mean)
}
