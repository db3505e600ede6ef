package policy

// Resting tells whether forgetting a destination changes nothing: nobody asks for it, and it has no route.
func (s *Sender) Resting(dest int) bool {
	d := s.dests[dest]
	return d == nil || d.held == 0 && !d.routed()
}
