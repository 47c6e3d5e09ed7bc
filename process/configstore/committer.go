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
	// DefaultMaxAttempts bounds how often a commit reads or writes the object.
	DefaultMaxAttempts = 30
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
	// MaxAttempts bounds the attempts of a commit. Zero means DefaultAttempts.
	MaxAttempts int
}

// Committer applies operators' changes to the configuration at the platform.
// It is safe for concurrent use.
type Committer struct {
	config Config
}

// NewCommitter returns a committer.
func NewCommitter(config Config) *Committer {
	if config.MaxAttempts <= 0 {
		config.MaxAttempts = DefaultMaxAttempts
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
	for range c.config.MaxAttempts {
		accepted, err := run.step(ctx)
		if err == nil {
			return accepted, nil
		}
		if !run.retry {
			return CommitResult{}, run.fail(err)
		}
		if c.config.Sleep(ctx, backoff.Next(rng)) != nil {
			break
		}
	}
	if run.pending {
		return CommitResult{}, run.fail(run.last)
	}
	return CommitResult{}, &UnavailableError{OperationID: change.OperationID, Cause: run.last}
}

// commit is the state of one Commit.
type commit struct {
	config Config
	change version.Change
	actor  string

	// base is the document that the commit first applied the change to.
	base *version.Document
	// seen is the highest version of the object that the commit was shown.
	seen uint64
	// found is the object that the last conflict showed, if any.
	found *platform.Object
	// pending tells that a write with an unknown answer may still take effect
	// while the object has the version pendingVersion.
	pending        bool
	pendingVersion uint64
	// retry tells that the last step may be tried again.
	retry bool
	// last is the error of the last step that may be tried again.
	last error
}

// fail returns the error for the operator. A refusal is only believed if no
// write of this commit can take effect any more.
func (r *commit) fail(err error) error {
	if r.pending {
		return &UnknownOutcomeError{OperationID: r.change.OperationID, Cause: err}
	}
	return err
}

// again marks the error of a step as one that may be tried again.
func (r *commit) again(err error) error {
	r.retry, r.last = true, err
	return err
}

// step reads the object, unless a conflict just showed it, and tries to write
// it with the change.
func (r *commit) step(ctx context.Context) (CommitResult, error) {
	r.retry = false
	object, err := r.read(ctx)
	if err != nil {
		return CommitResult{}, r.again(err)
	}
	doc, err := r.document(object)
	if err != nil {
		return CommitResult{}, err
	}
	if _, ok := doc.FindOperation(r.change.OperationID); ok {
		return r.repeated(doc)
	}
	if err := r.checkBase(doc); err != nil {
		return CommitResult{}, err
	}
	next, err := version.Apply(doc, r.change, r.config.Now(), r.actor)
	if err != nil {
		return CommitResult{}, err
	}
	return r.write(ctx, object, next)
}

// read returns the object as far as it is known. An object that does not
// exist has version zero.
func (r *commit) read(ctx context.Context) (platform.Object, error) {
	if object := r.found; object != nil {
		r.found = nil
		return *object, nil
	}
	object, err := r.config.Client.Get(ctx, Key)
	if errors.Is(err, platform.ErrNotFound) {
		return platform.Object{Key: Key}, nil
	}
	return object, errors.Wrap(err, "read configuration")
}

// document decodes the object and refuses one that is older than what this
// commit, the node or the operator has seen.
func (r *commit) document(object platform.Object) (version.Document, error) {
	if object.Version < r.seen {
		return version.Document{}, r.again(errStale)
	}
	var doc version.Document
	if object.Version > 0 {
		decoded, err := version.Decode(object.Value)
		if err != nil {
			return version.Document{}, errors.Wrapf(err, "read configuration at object version %d", object.Version)
		}
		doc = decoded
	}
	if doc.Version < max(r.config.Store.Version(), r.change.Base) {
		return version.Document{}, r.again(errStale)
	}
	r.seen = object.Version
	if object.Version > r.pendingVersion {
		r.pending = false
	}
	return doc, nil
}

// repeated returns the acceptance of a change that is in the history.
func (r *commit) repeated(doc version.Document) (CommitResult, error) {
	r.pending = false
	if _, err := version.Apply(doc, r.change, r.config.Now(), r.actor); err != nil {
		return CommitResult{}, err
	}
	entry, _ := doc.FindOperation(r.change.OperationID)
	if _, err := r.config.Store.UpdateDocumentIfNewer(r.config.Now(), doc); err != nil {
		return CommitResult{}, &UnknownOutcomeError{OperationID: r.change.OperationID, Cause: err}
	}
	return CommitResult{Entry: entry, Repeated: true}, nil
}

// checkBase returns a *version.ConflictError if others changed the same
// things since the commit's first read.
func (r *commit) checkBase(doc version.Document) error {
	if r.base == nil {
		r.base = &doc
		return nil
	}
	if conflict := r.change.Conflict(*r.base, doc); conflict != nil {
		return conflict
	}
	return nil
}

func (r *commit) write(ctx context.Context, object platform.Object, next version.Document) (CommitResult, error) {
	data, err := next.Encode()
	if err != nil {
		return CommitResult{}, err
	}
	_, err = r.config.Client.Put(ctx, Key, data, object.Version)
	if err != nil {
		return CommitResult{}, r.writeFailed(err, object.Version)
	}
	r.pending = false
	if _, err := r.config.Store.UpdateIfNewer(r.config.Now(), data); err != nil {
		return CommitResult{}, &UnknownOutcomeError{OperationID: r.change.OperationID, Cause: err}
	}
	entry, _ := next.FindOperation(r.change.OperationID)
	return CommitResult{Entry: entry}, nil
}

// writeFailed notes what a failed write tells. An error of an unknown type
// counts as an unknown answer.
func (r *commit) writeFailed(err error, ifVersion uint64) error {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		r.found = &platform.Object{Key: Key, Version: conflict.Version, Value: conflict.Value}
	case errors.Is(err, platform.ErrUnavailable):
	default:
		r.pending, r.pendingVersion = true, ifVersion
	}
	return r.again(errors.Wrap(err, "write configuration"))
}

// Sleep waits for the delay or the end of the context.
func Sleep(ctx context.Context, delay time.Duration) error {
	wait.For(ctx, delay)
	return ctx.Err()
}
