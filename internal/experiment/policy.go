package experiment

import "time"

// place chooses a target for a request according to the policy; the target admits, queues or refuses it.
func (s *simulation) place(r *request) {
	switch s.Policy {
	case Chain:
		s.placeInChain(r)
	case PlainHash:
		s.countHops(1)
		s.offer(r, s.rankings[r.bucket][0])
	case LeastConnections:
		s.countHops(1)
		chosen := s.leastConnections(r)
		s.sentSinceReport[r.balancer][chosen]++
		s.offer(r, chosen)
	}
}

// countHops counts the agents that a request has visited.
func (s *simulation) countHops(hops int) {
	s.result.Hops += hops
	s.result.MaxHops = max(s.result.MaxHops, hops)
}

// placeInChain offers a request to the candidates in order. If no candidate has a free slot, the
// request goes to the one with the shortest estimated wait.
func (s *simulation) placeInChain(r *request) {
	chain := s.rankings[r.bucket]
	best := chain[0]
	for i, candidate := range chain {
		if s.targets[candidate].busySlots < s.Slots {
			s.countHops(i + 1)
			s.admit(r, candidate)
			return
		}
		if s.estimatedQueueWait(candidate) < s.estimatedQueueWait(best) {
			best = candidate
		}
	}
	hops := len(chain)
	if best != chain[len(chain)-1] {
		hops++
	}
	s.countHops(hops)
	s.offer(r, best)
}

// leastConnections returns the target with the fewest connections that the request's balancer knows
// of. Ties are broken by the order of the ranking.
func (s *simulation) leastConnections(r *request) int {
	ranking := s.rankings[r.bucket]
	best := ranking[0]
	for _, candidate := range ranking {
		if s.knownConnections(r.balancer, candidate) < s.knownConnections(r.balancer, best) {
			best = candidate
		}
	}
	return best
}

func (s *simulation) knownConnections(balancer, target int) int {
	return s.reportedConns[target] + s.sentSinceReport[balancer][target]
}

// offer offers a request to one target, which admits, queues or refuses it.
func (s *simulation) offer(r *request, i int) {
	switch {
	case s.targets[i].busySlots < s.Slots:
		s.admit(r, i)
	case s.MaxWait > 0 && s.expectedWait(i) <= s.MaxWait:
		s.result.Queued++
		r.queuedAt = s.now
		s.targets[i].queue = append(s.targets[i].queue, r)
		s.schedule(event{kind: queueTimeout, request: r}, s.MaxWait)
	default:
		s.result.Refused++
	}
}

// expectedWait returns the wait that is compared with MaxWait before a target queues a request. With
// the chain policy, the slots of all targets serve all queues.
func (s *simulation) expectedWait(i int) time.Duration {
	if s.Policy != Chain {
		return s.estimatedQueueWait(i)
	}
	waiting := 0
	for j := range s.targets {
		waiting += s.waitingRequests(j)
	}
	return s.Mean * time.Duration(waiting+1) / time.Duration(s.Slots*len(s.targets))
}

// waitingRequests returns the number of requests in the queue of a target that have not timed out.
func (s *simulation) waitingRequests(i int) int {
	n := 0
	for _, r := range s.targets[i].queue {
		if !r.decided {
			n++
		}
	}
	return n
}

// estimatedQueueWait returns the estimated wait of one more request in a target's own queue, from the
// mean time that a request holds a slot.
func (s *simulation) estimatedQueueWait(i int) time.Duration {
	return s.Mean * time.Duration(s.waitingRequests(i)+1) / time.Duration(s.Slots)
}

// admit gives a slot to a request.
func (s *simulation) admit(r *request, i int) {
	r.decided = true
	s.targets[i].busySlots++
	s.result.PerTarget[i]++
	s.schedule(event{kind: departure, target: i}, r.holdTime)
}

// freeSlot frees a slot and gives it to the next request in the queue; with the chain policy, to the
// request that has waited longest at any target.
func (s *simulation) freeSlot(i int) {
	s.targets[i].busySlots--
	if s.Policy == Chain {
		s.admitLongestWaiting(i)
		return
	}
	t := &s.targets[i]
	for len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if !next.decided {
			s.admit(next, i)
			return
		}
	}
}

// admitLongestWaiting gives a free slot of a target to the request that has waited longest at any target.
func (s *simulation) admitLongestWaiting(i int) {
	var oldest *request
	from := i
	for j := range s.targets {
		for _, r := range s.targets[j].queue {
			if !r.decided && (oldest == nil || r.queuedAt < oldest.queuedAt) {
				oldest, from = r, j
			}
		}
	}
	if oldest == nil {
		return
	}
	if from != i {
		s.countHops(1)
	}
	s.admit(oldest, i)
}
