package gateway

import (
	"reflect"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"verbenatrestle/request"
	"verbenatrestle/request/quarantine"
)

// crashRecord is a crash of the target beside a node, as the record of the node in the
// store holds it. It names only the quarantined requests: which of the others completed
// since is known to running nodes alone.
type crashRecord struct {
	// Instance identifies the process that crashed, as in quarantine.CrashID.
	Instance string `json:"instance"`
	// AtMillis is the time of the crash in Unix milliseconds.
	AtMillis int64 `json:"at_ms"`
	// Requests holds the fingerprints as text, which passes readers of JSON that keep
	// numbers as floating point.
	Requests []string `json:"requests"`
}

// newCrashRecords returns the records of crashes.
func newCrashRecords(crashes []quarantine.Crash) []crashRecord {
	var records []crashRecord
	for _, crash := range crashes {
		record := crashRecord{Instance: crash.ID.Instance, AtMillis: crash.AtMillis}
		for _, r := range crash.InFlight {
			record.Requests = append(record.Requests, r.Fingerprint.String())
		}
		records = append(records, record)
	}
	return records
}

// decodeCrashRecords returns the crashes of a node from its records.
func decodeCrashRecords(node string, records []crashRecord) (quarantine.Message, error) {
	var m quarantine.Message
	for _, record := range records {
		crash := quarantine.Crash{ID: quarantine.CrashID{Node: node, Instance: record.Instance}, AtMillis: record.AtMillis}
		for _, text := range record.Requests {
			f, err := strconv.ParseUint(text, 16, 64)
			if err != nil {
				return quarantine.Message{}, errors.Wrap(err, "decode crash record")
			}
			crash.InFlight = append(crash.InFlight, quarantine.InFlightRequest{Fingerprint: request.Fingerprint(f)})
		}
		m.Crashes = append(m.Crashes, crash)
	}
	return m, nil
}

// storable returns the crashes of the local target that the record of this node holds.
func (c *crashExchange) storable() []crashRecord {
	return newCrashRecords(c.table.QuarantinedCrashes(c.node.settings().Name, time.Now()))
}

// restore adds the crashes that a node record in the store holds. They are not
// forwarded, since the other nodes read the same records.
func (c *crashExchange) restore(node string, records []crashRecord) error {
	m, err := decodeCrashRecords(node, records)
	if err != nil {
		return err
	}
	c.table.Merge(m, time.Now())
	return nil
}

// checkStored requests a write of the record of this node if it no longer holds what it
// should.
func (c *crashExchange) checkStored() {
	generation := c.table.Generation()
	if generation == c.checkedGeneration {
		return
	}
	c.checkedGeneration = generation
	if records := c.storable(); !reflect.DeepEqual(records, c.checked) {
		c.checked = records
		c.node.store.requestRecordWrite()
	}
}
