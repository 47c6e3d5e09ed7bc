package target

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log/level"
	"github.com/pkg/errors"

	"verbenatrestle/internal/wait"
)

const (
	// announcePeriod is the time between announcements.
	announcePeriod = time.Second
	// announceRetry is the time before the next one after a failure.
	announceRetry = 200 * time.Millisecond
	// announceTimeout limits one announcement.
	announceTimeout = 2 * time.Second
	// drainRetry is the time between two drain requests.
	drainRetry = 200 * time.Millisecond
)

// announcement registers a target with its node.
type announcement struct {
	Organisation string `json:"organisation"`
	Service      string `json:"service"`
	Address      string `json:"address"`
	Instance     string `json:"instance"`
	Slots        int    `json:"slots"`
	Connections  int    `json:"connections"`
	ColdLimit    int    `json:"cold_limit"`
	// StartedMillis is the start of the instance, in Unix milliseconds.
	StartedMillis int64 `json:"started_ms"`
}

// drainRequest is the body of a request to drain the target.
type drainRequest struct {
	Instance string `json:"instance"`
}

// announce announces the target to the node until the context ends. It pauses
// while the target drains. Only the first of consecutive failures is logged.
func (t *Target) announce(ctx context.Context) {
	if t.options.AnnounceURL == "" {
		return
	}
	failing := false
	for {
		period := announcePeriod
		err := t.announceOnce(ctx)
		if err != nil {
			period = announceRetry
		}
		if err != nil && !failing {
			level.Warn(t.options.Logger).Log("msg", "announce", "err", err)
		}
		failing = err != nil
		if !wait.For(ctx, period) {
			return
		}
	}
}

func (t *Target) announceOnce(ctx context.Context) error {
	t.mu.Lock()
	draining := t.draining
	instance := t.instance
	started := t.started
	t.mu.Unlock()
	if draining {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	return t.post(ctx, "/v1/announce", announcement{
		Organisation: t.options.Organisation,
		Service:      t.options.Service,
		Address:      t.options.Address,
		Instance:     instance,
		Slots:        t.options.Slots,
		Connections:  t.options.MaxConnections,
		ColdLimit:    t.options.ColdLimit,

		StartedMillis: started.UnixMilli(),
	})
}

// drain requests a drain from the node, and returns when the node reports that
// no requests are left or the context ends.
func (t *Target) drain(ctx context.Context) error {
	t.mu.Lock()
	t.draining = true
	instance := t.instance
	t.mu.Unlock()
	if t.options.AnnounceURL == "" {
		return nil
	}
	path := fmt.Sprintf("/v1/drain?wait=%d", int(t.options.DrainTimeout.Seconds()))
	for {
		err := t.post(ctx, path, drainRequest{Instance: instance})
		if err == nil {
			return nil
		}
		if !wait.For(ctx, drainRetry) {
			return err
		}
	}
}

func (t *Target) post(ctx context.Context, path string, message any) error {
	url := t.options.AnnounceURL + path
	body, err := json.Marshal(message)
	if err != nil {
		return errors.Wrapf(err, "encode message to %s", url)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "make request to %s", url)
	}
	r.Header.Set("Content-Type", "application/json")
	response, err := t.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "post to node")
	}
	defer response.Body.Close()
	detail, _ := io.ReadAll(io.LimitReader(response.Body, 4<<10))
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("post to node at %s: status %d: %s", url, response.StatusCode, detail)
	}
	return nil
}
