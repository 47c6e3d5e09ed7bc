package load

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/target"
)

// journalTimeout limits the reading of one journal.
const journalTimeout = 30 * time.Second

// maxRunsBytes limits the body of one POST to a collector.
const maxRunsBytes = 16 << 20

// Collector receives the runs of targets over HTTP, so that the runs of targets
// that are killed are counted too. It is safe for concurrent use.
type Collector struct {
	journal *target.Journal
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{journal: target.NewJournal()}
}

// ServeHTTP accepts a JSON array of idempotency keys whose requests are about to
// run.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var keys []string
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRunsBytes)).Decode(&keys); err != nil {
		http.Error(w, "decode runs: "+err.Error(), http.StatusBadRequest)
		return
	}
	c.journal.Add(keys...)
	w.WriteHeader(http.StatusOK)
}

// readRuns returns the number of runs of each key, and one error for each
// journal that could not be read.
func readRuns(config *Config) (map[string]int, []error) {
	if config.Collector != nil {
		return config.Collector.journal.Runs(), nil
	}
	journal := target.NewJournal()
	client := &http.Client{Timeout: journalTimeout}
	var unread []error
	for _, address := range config.Journals {
		read, err := readJournal(client, address)
		if err != nil {
			unread = append(unread, err)
			continue
		}
		journal.Merge(read.Runs)
	}
	return journal.Runs(), unread
}

func readJournal(client *http.Client, address string) (target.JournalResponse, error) {
	var read target.JournalResponse
	response, err := client.Get("http://" + address + "/journal")
	if err != nil {
		return read, errors.Wrapf(err, "read journal of target %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return read, errors.Errorf("read journal of target %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&read)
	return read, errors.Wrapf(err, "read journal of target %s", address)
}
