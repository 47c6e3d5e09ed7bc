package quota

import (
	"strconv"
	"testing"
	"time"
)

// order returns the first two nodes that are not excluded by a node, which is in their order
// itself.
func (s *simulation) order(n *simulatedNode) (first, second *simulatedNode) {
	for _, other := range s.nodes {
		if second != nil {
			break
		}
		switch {
		case n.exclusions.Excluded(other.name, s.now):
		case first == nil:
			first = other
		default:
			second = other
		}
	}
	return first, second
}

// role returns the part of a node and the node that it passes messages on to.
func (s *simulation) role(n *simulatedNode) (Role, *simulatedNode) {
	first, second := s.order(n)
	if first != n {
		return Role{Other: true}, first
	}
	return Role{Unsure: n.index > 0 && second != nil && !s.now.Before(n.agreedUntil)}, second
}

// routeAll sends the messages of a node, and probes.
func (s *simulation) routeAll(n *simulatedNode, asks []Ask, silent []string) {
	for range silent {
		if _, to := s.role(n); to != n {
			s.exclude(n, to)
		}
	}
	for _, ask := range asks {
		if role, to := s.role(n); RouteOf(&ask, role) != Answer {
			s.send(n, to, func() { s.receive(to, n, ask) })
			continue
		}
		s.answer(n, n, ask, len(s.nodes))
	}
	s.probe(n)
}

// named returns the node of a name.
func (s *simulation) named(name string) *simulatedNode {
	index, _ := strconv.Atoi(name)
	return s.nodes[index]
}

func (s *simulation) exclude(n, silent *simulatedNode) {
	n.exclusions.Exclude(silent.name, organisation, s.now)
	s.noticeCoordinator(n)
}

func (s *simulation) probe(n *simulatedNode) {
	for _, probe := range n.exclusions.Probes(n.incarnation, s.now) {
		to := s.named(probe.Node)
		s.send(n, to, func() { s.receive(to, n, probe.Ask) })
	}
}

// receive handles a message at a node.
func (s *simulation) receive(n, from *simulatedNode, ask Ask) {
	if _, to := s.role(n); from == to {
		n.agreedUntil = s.now.Add(500 * time.Millisecond)
	}
	role, to := s.role(n)
	if route := RouteOf(&ask, role); route == PassToCoordinator && n.exclusions.PassedOn(to.name, s.now) {
		s.exclude(n, to)
		s.probe(n)
		role, to = s.role(n)
	}
	switch RouteOf(&ask, role) {
	case Answer:
		s.answer(n, from, ask, len(s.nodes))
	case AnswerShare:
		s.answer(n, from, ask, 1)
	default:
		ask.Passes++
		s.send(n, to, func() { s.receive(to, n, ask) })
	}
}

// answer sends the answer to a message, and the notices that result from it.
func (s *simulation) answer(n, from *simulatedNode, ask Ask, reached int) {
	grant, notices := n.coordinator.Handle(ask, from.name, s.limitAt(s.now.Sub(start)), reached, len(s.nodes), s.now)
	for _, notice := range append(notices, Notice{Address: from.name, Grant: grant}) {
		to := s.named(notice.Address)
		s.send(n, to, func() { s.granted(to, n, notice.Grant) })
	}
}

// granted handles an answer at a node, which passes it on if it is for another one.
func (s *simulation) granted(n, from *simulatedNode, grant Grant) {
	n.exclusions.Answered(from.name)
	s.noticeCoordinator(n)
	if grant.Incarnation != n.incarnation {
		for _, other := range s.nodes {
			if other.incarnation == grant.Incarnation {
				s.deliver(n, other, grant)
			}
		}
		return
	}
	n.ingress.HandleGrant(grant, s.now)
	s.poll(n)
}

// In a fleet of 96 nodes and more, the loss of a coordinator is noticed by its silence. Requests
// that waited for it were refused although the organisation was within its quota, and again
// whenever a node tried the lost one anew.
func TestNothingIsRefusedAfterALossNoticedBySilence(t *testing.T) {
	limit := Limit{RatePerSecond: 400, Burst: 200}
	for _, loss := range []float64{0, 0.01} {
		for _, lost := range []int{1, 2} {
			s := newSimulation(128, limit, 17)
			s.silence, s.loss = true, loss
			s.demand(0, 25*time.Second, 0.5*limit.RatePerSecond, s.nodes)
			s.runUntil(10 * time.Second)
			if refused := s.asked - len(s.admitted); refused > 1 {
				t.Errorf("loss %v: %d requests refused or waiting before the fault", loss, refused)
			}
			for _, n := range s.nodes[:lost] {
				n.down, n.downSince = true, s.now
			}
			s.runUntil(27 * time.Second)
			refused := s.asked - len(s.admitted)
			t.Logf("loss %v, %d nodes lost: %d of %d requests refused, %d of them unchecked", loss, lost, refused, s.asked, s.unchecked)
			if s.unchecked > 0 || lost == 1 && refused > 2 { // one that the lost node held
				t.Errorf("loss %v, %d nodes lost: %d of %d requests refused, %d of them unchecked", loss, lost, refused, s.asked, s.unchecked)
			}
			if text := s.exceeded(limit, 0); text != "" {
				t.Errorf("loss %v, %d nodes lost: %s", loss, lost, text)
			}
		}
	}
}

// A coordinator that is suspended for a moment is found silent by some nodes and not by others. The
// two coordinators must not exceed the quota together.
func TestQuotaHoldsWhenACoordinatorIsSilentForAMoment(t *testing.T) {
	limit := Limit{RatePerSecond: 60, Burst: 60}
	for seed := range uint64(4) {
		s := newSimulation(128, limit, seed)
		s.silence = true
		s.demand(0, 20*time.Second, 6*limit.RatePerSecond, s.nodes)
		for at := 4 * time.Second; at < 16*time.Second; at += 3 * time.Second {
			s.at(at, func() { s.nodes[0].deafUntil = s.now.Add(time.Duration(seed+1) * 300 * time.Millisecond) })
		}
		s.runUntil(20 * time.Second)
		if text := s.exceeded(limit, 0); text != "" {
			t.Errorf("seed %d: %s", seed, text)
		}
	}
}
