package repair

import "slices"

// Joiner decides which controllers this one asks for membership.
type Joiner struct {
	self         string
	seeds, known []string
	firstStart   bool
	hasBeenVoter bool
	stopping     bool
}

// View is what a controller knows of the group from the log.
type View struct {
	Leads, Votes bool
	// HasLeader is set if a leader is known. LeaderAddress is empty if its address is not.
	HasLeader     bool
	LeaderAddress string
	Members       []string // addresses
}

// NewJoiner returns the Joiner of a controller at the address self. firstStart is set if it was started together with the
// whole system.
func NewJoiner(self string, seeds []string, firstStart bool) *Joiner {
	return &Joiner{self: self, seeds: seeds, firstStart: firstStart}
}

// SetSeeds replaces the addresses of the settings.
func (j *Joiner) SetSeeds(seeds []string) { j.seeds = seeds }

// Learn adds the address of a controller that has called, or that another one has named.
func (j *Joiner) Learn(address string) {
	if address != "" && address != j.self && !slices.Contains(j.known, address) {
		j.known = append(j.known, address)
	}
}

// Stop ends the requests of a controller whose process is stopping.
func (j *Joiner) Stop() { j.stopping = true }

// Founding reports whether the controller was started together with the whole system and has not been a voter yet.
func (j *Joiner) Founding() bool { return j.firstStart && !j.hasBeenVoter }

// Next returns the addresses to ask now. There are none for a voter with a known leader. A controller without one may be new,
// or have been removed while it was cut off: it asks all that it knows of, since any of them may know the leader. A learner with a
// known leader asks only that.
func (j *Joiner) Next(v View) []string {
	j.hasBeenVoter = j.hasBeenVoter || v.Votes
	switch {
	case v.Leads || j.stopping || v.HasLeader && v.Votes:
		return nil
	case v.HasLeader && v.LeaderAddress != "":
		return []string{v.LeaderAddress}
	}
	var addresses []string
	for _, address := range slices.Concat(j.seeds, v.Members, j.known) {
		if address != "" && address != j.self && !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// Leaver decides how long a controller whose process is stopping stays.
type Leaver struct {
	// Losses is the number of controllers that may be lost at once by the settings; zero if not set.
	Losses   int
	mustWait bool
}

// Stays reports whether the process has to stay. If the group can do without it, because it has a learner or more voters than its
// size, that is until its removal is committed: between the end of the process and that, the group bears one loss less. mayVote
// is set for a voter, and while the last change of the members is not committed.
func (l *Leaver) Stays(mayVote bool, voters, learners int) bool {
	size := (&Group{Losses: l.Losses}).minVoters()
	l.mustWait = l.mustWait || learners > 0 || size > 0 && voters > size
	return mayVote && l.mustWait
}
