package experiment

import "time"

// place chooses a target for a request, which takes, queues or refuses it.
func (s *simulation) place(r *request) {
	switch s.Policy {
	case Chain:
		s.placeInChain(r)
	case PlainHash:
		s.visit(1)
		s.offer(r, s.rankings[r.bucket][0])
	case LeastConnections:
		s.visit(1)
		chosen := s.leastConnections(r)
		s.sent[r.origin][chosen]++
		s.offer(r, chosen)
	}
}

// visit counts the agents that a request has visited.
func (s *simulation) visit(hops int) {
	s.result.Hops += hops
	s.result.MaxHops = max(s.result.MaxHops, hops)
}

// placeInChain offers a request to the candidates in order. If all are busy, it goes on to the one
// with the shortest estimated wait.
func (s *simulation) placeInChain(r *request) {
	chain := s.rankings[r.bucket]
	best := chain[0]
	for i, candidate := range chain {
		if s.targets[candidate].busy < s.Slots {
			s.visit(i + 1)
			s.admit(r, candidate)
			return
		}
		if s.estimate(candidate) < s.estimate(best) {
			best = candidate
		}
	}
	hops := len(chain)
	if best != chain[len(chain)-1] {
		hops++
	}
	s.visit(hops)
	s.offer(r, best)
}

// leastConnections returns the target with the fewest connections that the balancer of a request
// knows of. Equal ones are taken in the order of the ranking.
func (s *simulation) leastConnections(r *request) int {
	ranking := s.rankings[r.bucket]
	best := ranking[0]
	for _, candidate := range ranking {
		if s.known(r.origin, candidate) < s.known(r.origin, best) {
			best = candidate
		}
	}
	return best
}

func (s *simulation) known(balancer, target int) int {
	return s.reported[target] + s.sent[balancer][target]
}

// offer asks one target to take a request: it admits, queues or refuses it.
func (s *simulation) offer(r *request, i int) {
	switch {
	case s.targets[i].busy < s.Slots:
		s.admit(r, i)
	case s.MaxWait > 0 && s.expected(i) <= s.MaxWait:
		s.result.Queued++
		r.since = s.now
		s.targets[i].queue = append(s.targets[i].queue, r)
		s.schedule(event{kind: expiry, request: r}, s.MaxWait)
	default:
		s.result.Refused++
	}
}

// expected returns the wait that a target expects for a request that it would queue. In a chain the
// slots of all targets serve all queues.
func (s *simulation) expected(i int) time.Duration {
	if s.Policy != Chain {
		return s.estimate(i)
	}
	waiting := 0
	for j := range s.targets {
		waiting += s.waiting(j)
	}
	return s.Mean * time.Duration(waiting+1) / time.Duration(s.Slots*len(s.targets))
}

// waiting returns the number of requests in the queue of a target that have not expired.
func (s *simulation) waiting(i int) int {
	n := 0
	for _, r := range s.targets[i].queue {
		if !r.done {
			n++
		}
	}
	return n
}

// estimate returns the wait that a target expects for one more request in its queue, from the mean
// time that requests hold a slot.
func (s *simulation) estimate(i int) time.Duration {
	return s.Mean * time.Duration(s.waiting(i)+1) / time.Duration(s.Slots)
}

// admit gives a slot to a request.
func (s *simulation) admit(r *request, i int) {
	r.done = true
	s.targets[i].busy++
	s.result.PerTarget[i]++
	s.schedule(event{kind: departure, target: i}, r.hold)
}

// depart frees a slot and gives it to the next request in the queue. In a chain that is the request
// that has waited longest at any target.
func (s *simulation) depart(i int) {
	s.targets[i].busy--
	if s.Policy == Chain {
		s.pull(i)
		return
	}
	t := &s.targets[i]
	for len(t.queue) > 0 {
		next := t.queue[0]
		t.queue = t.queue[1:]
		if !next.done {
			s.admit(next, i)
			return
		}
	}
}

// pull gives a free slot to the request that has waited longest.
func (s *simulation) pull(i int) {
	var oldest *request
	from := i
	for j := range s.targets {
		for _, r := range s.targets[j].queue {
			if !r.done && (oldest == nil || r.since < oldest.since) {
				oldest, from = r, j
			}
		}
	}
	if oldest == nil {
		return
	}
	if from != i {
		s.visit(1)
	}
	s.admit(oldest, i)
}
