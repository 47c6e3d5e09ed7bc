package configstore

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
	"verbenatrestle/process/platform"
	"verbenatrestle/version"
)

// Key is the key of the configuration object at the platform.
const Key = "configuration"

const (
	// DefaultMaxAttempts is the default of Config.MaxAttempts.
	DefaultMaxAttempts = 30
	// backoffBase is the upper bound of the delay after the first failed attempt.
	backoffBase = 20 * time.Millisecond
	// backoffCap is the upper bound of every delay between attempts.
	backoffCap = time.Second
)

// Client reads and writes objects at the platform. *platform.Client implements
// it.
type Client interface {
	// Get reads an object. The error is platform.ErrNotFound or a
	// platform.ErrUnavailable.
	Get(ctx context.Context, key string) (platform.Object, error)
	// Put writes an object if its version is ifVersion, where zero means that
	// the object doesn't exist. The error is a *platform.ConflictError, a
	// platform.ErrUnavailable or a platform.ErrUnknownOutcome.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// Config configures a Committer. All fields without a default are required.
type Config struct {
	// Client accesses the platform.
	Client Client
	// Store is updated with the committed configuration.
	Store *Store
	// Now returns the wall-clock time.
	Now func() time.Time
	// Sleep waits for the delay. It returns an error if the context ends first.
	Sleep func(ctx context.Context, delay time.Duration) error
	// NewRand returns a generator of random numbers that randomises the delays
	// of one commit. It is called concurrently by concurrent commits.
	NewRand func() *rand.Rand
	// MaxAttempts bounds the attempts of a commit, each of which reads or writes
	// the object. Zero means DefaultMaxAttempts.
	MaxAttempts int
}

// Committer applies changes of operators to the configuration at the platform.
// It is safe for concurrent use.
type Committer struct {
	config Config
}

// NewCommitter returns a committer with the given configuration.
func NewCommitter(config Config) *Committer {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = DefaultMaxAttempts
	}
	return &Committer{config: config}
}

// CommitResult describes an accepted change.
type CommitResult struct {
	// Entry is the change's entry in the history.
	Entry version.HistoryEntry
	// Repeated is set if the change was found in the history: an earlier commit
	// had made it, or the response to the write of this commit was lost.
	Repeated bool
}

// Commit applies a change on behalf of an actor. It returns after the change
// is accepted and active in the Store. Besides the errors that the package
// documentation lists, it may return another refusal of version.Apply or an
// error of decoding or encoding the document; the change did not take effect
// then.
func (c *Committer) Commit(ctx context.Context, change version.Change, actor string) (CommitResult, error) {
	state := &commit{config: c.config, change: change, actor: actor}
	backoff := platform.Backoff{Base: backoffBase, Cap: backoffCap}
	rng := c.config.NewRand()
	for range c.config.MaxAttempts {
		result, err := state.attempt(ctx)
		if err == nil {
			return result, nil
		}
		if !state.retryable {
			return CommitResult{}, state.finalError(err)
		}
		if c.config.Sleep(ctx, backoff.Next(rng)) != nil {
			break
		}
	}
	if state.pending {
		return CommitResult{}, state.finalError(state.lastErr)
	}
	return CommitResult{}, &UnavailableError{OperationID: change.OperationID, Cause: state.lastErr}
}

// commit is the state of one call of Committer.Commit.
type commit struct {
	config Config
	change version.Change
	actor  string

	// base is the document that the first attempt applied the change to.
	base *version.Document
	// seenVersion is the highest version of the object that the commit has read.
	seenVersion uint64
	// conflictObject is the object that the latest conflict returned, until the
	// next attempt uses it.
	conflictObject *platform.Object
	// pending is set if the outcome of a write is unknown. That write may still
	// take effect while the version of the object is pendingVersion.
	pending        bool
	pendingVersion uint64
	// retryable is set if the latest attempt failed with an error that may be
	// retried.
	retryable bool
	// lastErr is the latest error that may be retried.
	lastErr error
}

// finalError returns the error for the operator. While a write of this commit
// may still take effect, a refusal is reported as an unknown outcome.
func (c *commit) finalError(err error) error {
	if c.pending {
		return &UnknownOutcomeError{OperationID: c.change.OperationID, Cause: err}
	}
	return err
}

// markRetryable records that the attempt may be retried, and returns err.
func (c *commit) markRetryable(err error) error {
	c.retryable, c.lastErr = true, err
	return err
}

// attempt reads the object, unless the latest conflict returned it, and tries
// to write it with the change applied.
func (c *commit) attempt(ctx context.Context) (CommitResult, error) {
	c.retryable = false
	object, err := c.read(ctx)
	if err != nil {
		return CommitResult{}, c.markRetryable(err)
	}
	doc, err := c.decode(object)
	if err != nil {
		return CommitResult{}, err
	}
	if _, ok := doc.FindOperation(c.change.OperationID); ok {
		return c.alreadyApplied(doc)
	}
	if err := c.checkConflict(doc); err != nil {
		return CommitResult{}, err
	}
	next, err := version.Apply(doc, c.change, c.config.Now(), c.actor)
	if err != nil {
		return CommitResult{}, err
	}
	return c.write(ctx, object, next)
}

// read returns the object of the latest conflict, or else reads it from the
// platform. It returns an object of version zero if none exists.
func (c *commit) read(ctx context.Context) (platform.Object, error) {
	if object := c.conflictObject; object != nil {
		c.conflictObject = nil
		return *object, nil
	}
	object, err := c.config.Client.Get(ctx, Key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Key: Key}, nil
	}
	return object, errors.Wrap(err, "read configuration")
}

// decode decodes the object. It returns errStale, marked as retryable, if the
// object is older than what this commit, the node or the operator has seen.
func (c *commit) decode(object platform.Object) (version.Document, error) {
	if object.Version < c.seenVersion {
		return version.Document{}, c.markRetryable(errStale)
	}
	var doc version.Document
	if object.Version > 0 {
		decoded, err := version.Decode(object.Value)
		if err != nil {
			return version.Document{}, errors.Wrapf(err, "read configuration at object version %d", object.Version)
		}
		doc = decoded
	}
	if doc.Version < max(c.config.Store.Version(), c.change.Base) {
		return version.Document{}, c.markRetryable(errStale)
	}
	c.seenVersion = object.Version
	if object.Version > c.pendingVersion {
		c.pending = false
	}
	return doc, nil
}

// alreadyApplied returns the result for a change that is in the history. It
// returns an error if the change differs from the one that was accepted under
// the same operation ID.
func (c *commit) alreadyApplied(doc version.Document) (CommitResult, error) {
	c.pending = false
	if _, err := version.Apply(doc, c.change, c.config.Now(), c.actor); err != nil {
		return CommitResult{}, err
	}
	entry, _ := doc.FindOperation(c.change.OperationID)
	if _, err := c.config.Store.UpdateDocumentIfNewer(c.config.Now(), doc); err != nil {
		return CommitResult{}, &UnknownOutcomeError{OperationID: c.change.OperationID, Cause: err}
	}
	return CommitResult{Entry: entry, Repeated: true}, nil
}

// checkConflict returns a *version.ConflictError if others have changed the
// same things since the first attempt read the document.
func (c *commit) checkConflict(doc version.Document) error {
	if c.base == nil {
		c.base = &doc
		return nil
	}
	if conflict := c.change.Conflict(*c.base, doc); conflict != nil {
		return conflict
	}
	return nil
}

func (c *commit) write(ctx context.Context, object platform.Object, next version.Document) (CommitResult, error) {
	data, err := next.Encode()
	if err != nil {
		return CommitResult{}, err
	}
	_, err = c.config.Client.Put(ctx, Key, data, object.Version)
	if err != nil {
		return CommitResult{}, c.handleWriteError(err, object.Version)
	}
	c.pending = false
	if _, err := c.config.Store.UpdateIfNewer(c.config.Now(), data); err != nil {
		return CommitResult{}, &UnknownOutcomeError{OperationID: c.change.OperationID, Cause: err}
	}
	entry, _ := next.FindOperation(c.change.OperationID)
	return CommitResult{Entry: entry}, nil
}

// handleWriteError records what the error of a write says about the object.
// After an error of an unknown type, the write may have taken effect.
func (c *commit) handleWriteError(err error, ifVersion uint64) error {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		c.conflictObject = &platform.Object{Key: Key, Version: conflict.Version, Value: conflict.Value}
	case errors.Is(err, platform.ErrUnavailable):
	default:
		c.pending, c.pendingVersion = true, ifVersion
	}
	return c.markRetryable(errors.Wrap(err, "write configuration"))
}

// Sleep waits for the delay or until ctx ends. It returns the error of ctx.
func Sleep(ctx context.Context, delay time.Duration) error {
	wait.For(ctx, delay)
	return ctx.Err()
}
