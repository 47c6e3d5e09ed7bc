package balance

import "time"

// EndpointView is the state of an endpoint and the current estimates of its load,
// for the state dump.
type EndpointView struct {
	Node        string  `json:"node"`
	DataCentre  string  `json:"data_centre"`
	State       string  `json:"state"`
	Usable      bool    `json:"usable"`
	Ejected     bool    `json:"ejected"`
	Cold        bool    `json:"cold"`
	Outstanding int     `json:"outstanding"`
	InFlight    float64 `json:"in_flight"`
	Limit       float64 `json:"limit"`
	LatencyUS   int64   `json:"latency_us"`
	FailureRate float64 `json:"failure_share"`
	// SampleAgeMS is the age of the latest load sample in milliseconds, or -1 if
	// there is none.
	SampleAgeMS int64 `json:"sample_age_ms"`
}

func (e *endpointState) view(now time.Time, utilisation float64) EndpointView {
	c := e.candidate(now, utilisation)
	v := EndpointView{
		Node:        e.member.Node,
		DataCentre:  e.member.DataCentre,
		State:       e.member.State.String(),
		Usable:      e.usable(now),
		Ejected:     e.ejected(now),
		Cold:        c.Cold,
		Outstanding: c.Outstanding,
		InFlight:    c.InFlight,
		Limit:       c.Limit,
		LatencyUS:   c.Latency.Microseconds(),
		FailureRate: c.FailureRate,
		SampleAgeMS: -1,
	}
	if e.sampled {
		v.SampleAgeMS = now.Sub(e.sampledAt).Milliseconds()
	}
	return v
}
