package relay

import "time"

// coldWindow is the time over which the flows of a cold target are counted. The window slides.
const coldWindow = time.Second

// coldLimiter limits the new flows of a target that is cold after its start. The relay is the one place that all opening
// packets of the target pass, whichever entry VM they come from.
type coldLimiter struct {
	perSecond uint16          // zero if no limit is known
	taken     []time.Duration // times of the flows of the last window, ascending
}

// learnLimit records the limit that came with an offered SYN. Entry VMs of earlier builds send none.
func (c *coldLimiter) learnLimit(perSecond uint16) {
	if perSecond > 0 {
		c.perSecond = perSecond
	}
}

// admits reports whether the target may get another flow now. In the first second after the relay has heard of the
// target, the limit grows with the time: an earlier process of the relay may have used it up.
func (c *coldLimiter) admits(now time.Duration, t *localTarget) bool {
	if c.perSecond == 0 || now >= t.warmUntil {
		return true
	}
	for len(c.taken) > 0 && c.taken[0] <= now-coldWindow {
		c.taken = c.taken[1:]
	}
	known := min(now-t.firstSeen, coldWindow)
	return len(c.taken) < int(time.Duration(c.perSecond)*known/coldWindow)
}

// recordFlow counts a flow that the target got.
func (c *coldLimiter) recordFlow(now time.Duration, t *localTarget) {
	if c.perSecond > 0 && now < t.warmUntil {
		c.taken = append(c.taken, now)
	}
}
