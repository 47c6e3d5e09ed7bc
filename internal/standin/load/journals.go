package load

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/internal/standin/target"
)

// journalTimeout bounds the reading of one journal.
const journalTimeout = 30 * time.Second

// maxRunsBytes bounds the body of one post to a collector.
const maxRunsBytes = 16 << 20

// Collector receives the runs of targets, so that they outlast the targets.
type Collector struct {
	journal *target.Journal
}

// NewCollector returns an empty collector.
func NewCollector() *Collector {
	return &Collector{journal: target.NewJournal()}
}

// ServeHTTP takes a JSON array of idempotency keys that are about to run.
func (c *Collector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var keys []string
	if err := json.NewDecoder(io.LimitReader(r.Body, maxRunsBytes)).Decode(&keys); err != nil {
		http.Error(w, "decode runs: "+err.Error(), http.StatusBadRequest)
		return
	}
	c.journal.Add(keys...)
	w.WriteHeader(http.StatusOK)
}

// readRuns returns how often each key ran, and the errors of the journals that
// could not be read.
func readRuns(config *Config) (map[string]int, []error) {
	if config.Collector != nil {
		return config.Collector.journal.Runs(), nil
	}
	journal := target.NewJournal()
	client := &http.Client{Timeout: journalTimeout}
	var unread []error
	for _, address := range config.Journals {
		answer, err := readJournal(client, address)
		if err != nil {
			unread = append(unread, err)
			continue
		}
		journal.Merge(answer.Runs)
	}
	return journal.Runs(), unread
}

func readJournal(client *http.Client, address string) (target.JournalResponse, error) {
	var answer target.JournalResponse
	response, err := client.Get("http://" + address + "/journal")
	if err != nil {
		return answer, errors.Wrapf(err, "read journal of target %s", address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return answer, errors.Errorf("read journal of target %s: status %d", address, response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&answer)
	return answer, errors.Wrapf(err, "read journal of target %s", address)
}
