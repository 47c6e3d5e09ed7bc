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

// Key is the key of the configuration's object at the platform.
const Key = "configuration"

const (
	// DefaultAttempts bounds how often a commit reads or writes the object.
	DefaultAttempts = 30
	// backoffBase bounds the delay after a commit's first failure.
	backoffBase = 20 * time.Millisecond
	// backoffCap bounds every delay of a commit.
	backoffCap = time.Second
)

// Client is what a Committer needs of the platform. *platform.Client is one.
type Client interface {
	// Get reads an object. The error is platform.ErrNotFound or a
	// platform.ErrUnavailable.
	Get(ctx context.Context, key string) (platform.Object, error)
	// Put writes an object if its version is ifVersion, where zero means that
	// there is none. The error is a *platform.ConflictError, a
	// platform.ErrUnavailable or a platform.ErrUnknownAnswer.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
}

// Config is what a Committer is made of. All fields but Attempts are needed.
type Config struct {
	// Client reaches the platform.
	Client Client
	// Store takes over what is committed.
	Store *Store
	// Now returns the wall-clock time.
	Now func() time.Time
	// Sleep waits, and returns an error when the context ends first.
	Sleep func(ctx context.Context, delay time.Duration) error
	// NewRand spreads the delays. Commits may run at once, so it is a function
	// that returns a generator for one commit.
	NewRand func() *rand.Rand
	// Attempts bounds the attempts of a commit. Zero means DefaultAttempts.
	Attempts int
}

// Committer applies operators' changes to the configuration at the platform.
// It is safe for concurrent use.
type Committer struct {
	config Config
}

// NewCommitter returns a committer.
func NewCommitter(config Config) *Committer {
	if config.Attempts <= 0 {
		config.Attempts = DefaultAttempts
	}
	return &Committer{config: config}
}

// CommitResult tells that a change is in the configuration.
type CommitResult struct {
	// Entry is the history's record of the change.
	Entry version.HistoryEntry
	// Repeated tells that the change had been accepted before this commit, or
	// that its answer was lost and read back.
	Repeated bool
}

// Commit applies a change on behalf of an actor. It returns once the change
// is accepted and in force in the Store, or the error that the package's
// documentation lists.
func (c *Committer) Commit(ctx context.Context, change version.Change, actor string) (CommitResult, error) {
	run := &commit{config: c.config, change: change, actor: actor}
	backoff := platform.Backoff{Base: backoffBase, Cap: backoffCap}
	rng := c.config.NewRand()
	for range c.config.Attempts {
		accepted, err := run.attempt(ctx)
		if err == nil {
			return accepted, nil
		}
		if !run.retryable {
			return CommitResult{}, run.finalError(err)
		}
		if c.config.Sleep(ctx, backoff.Next(rng)) != nil {
			break
		}
	}
	if run.pending {
		return CommitResult{}, run.finalError(run.lastErr)
	}
	return CommitResult{}, &UnavailableError{OperationID: change.OperationID, Cause: run.lastErr}
}

// commit is the state of one Commit.
type commit struct {
	config Config
	change version.Change
	actor  string

	// base is the document that the commit first applied the change to.
	base *version.Document
	// seenVersion is the highest version of the object that the commit was shown.
	seenVersion uint64
	// conflictObject is the object that the last conflict showed, if any.
	conflictObject *platform.Object
	// pending tells that a write with an unknown answer may still take effect
	// while the object has the version pendingVersion.
	pending        bool
	pendingVersion uint64
	// retryable tells that the last step may be tried again.
	retryable bool
	// lastErr is the error of the last step that may be tried again.
	lastErr error
}

// finalError returns the error for the operator. A refusal is only believed if no
// write of this commit can take effect any more.
func (c *commit) finalError(err error) error {
	if c.pending {
		return &UnknownOutcomeError{OperationID: c.change.OperationID, Cause: err}
	}
	return err
}

// markRetryable marks the error of a step as one that may be tried again.
func (c *commit) markRetryable(err error) error {
	c.retryable, c.lastErr = true, err
	return err
}

// attempt reads the object, unless a conflict just showed it, and tries to write
// it with the change.
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
	if _, ok := doc.Applied(c.change.OperationID); ok {
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

// read returns the object as far as it is known. An object that does not
// exist has version zero.
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

// decode decodes the object and refuses one that is older than what this
// commit, the node or the operator has seen.
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

// alreadyApplied returns the acceptance of a change that is in the history.
func (c *commit) alreadyApplied(doc version.Document) (CommitResult, error) {
	c.pending = false
	if _, err := version.Apply(doc, c.change, c.config.Now(), c.actor); err != nil {
		return CommitResult{}, err
	}
	entry, _ := doc.Applied(c.change.OperationID)
	if _, err := c.config.Store.UpdateDocumentIfNewer(c.config.Now(), doc); err != nil {
		return CommitResult{}, &UnknownOutcomeError{OperationID: c.change.OperationID, Cause: err}
	}
	return CommitResult{Entry: entry, Repeated: true}, nil
}

// checkConflict returns a *version.ConflictError if others changed the same
// things since the commit's first read.
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
	entry, _ := next.Applied(c.change.OperationID)
	return CommitResult{Entry: entry}, nil
}

// handleWriteError notes what a failed write tells. An error of an unknown type
// counts as an unknown answer.
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

// Sleep waits for the delay or the end of the context.
func Sleep(ctx context.Context, delay time.Duration) error {
	wait.For(ctx, delay)
	return ctx.Err()
}
