package target

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// collectorQueueLength is the maximum number of entries that wait to be sent.
	collectorQueueLength = 4096
	// maxBatchEntries is the maximum number of entries in one call.
	maxBatchEntries = 256
	// collectorTimeout limits one call to the collector.
	collectorTimeout = 5 * time.Second
)

// entry is a run that waits for acknowledgement by the collector.
type entry struct {
	key  string
	done chan error
}

// collector sends runs to a collector in batches.
type collector struct {
	url     string
	client  *http.Client
	entries chan entry
}

func newCollector(url string) *collector {
	return &collector{
		url:     url,
		client:  &http.Client{Timeout: collectorTimeout},
		entries: make(chan entry, collectorQueueLength),
	}
}

// record returns when the collector has acknowledged the run, or with an error.
func (c *collector) record(ctx context.Context, key string) error {
	e := entry{key: key, done: make(chan error, 1)}
	select {
	case c.entries <- e:
	case <-ctx.Done():
		return errors.Wrapf(ctx.Err(), "record run at %s", c.url)
	}
	return <-e.done
}

// run sends batches of entries until the context ends.
func (c *collector) run(ctx context.Context) {
	for {
		select {
		case first := <-c.entries:
			batch := c.batch(first)
			err := c.send(batch)
			for _, e := range batch {
				e.done <- err
			}
		case <-ctx.Done():
			return
		}
	}
}

// batch returns the first entry and the entries that are queued behind it.
func (c *collector) batch(first entry) []entry {
	batch := []entry{first}
	for len(batch) < maxBatchEntries {
		select {
		case e := <-c.entries:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

func (c *collector) send(batch []entry) error {
	keys := make([]string, len(batch))
	for i, e := range batch {
		keys[i] = e.key
	}
	body, err := json.Marshal(keys)
	if err != nil {
		return errors.Wrap(err, "encode runs")
	}
	response, err := c.client.Post(c.url, "application/json", bytes.NewReader(body))
	if err != nil {
		return errors.Wrapf(err, "send runs to %s", c.url)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("send runs to %s: status %d", c.url, response.StatusCode)
	}
	return nil
}
