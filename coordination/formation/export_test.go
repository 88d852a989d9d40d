package formation

// StateSize returns the number of things that p keeps for later steps.
func (p *Planner) StateSize() int {
	return len(p.forming) + len(p.heads) + len(p.sent) + len(p.loading) + len(p.held) + len(p.retired) + len(p.late) + len(p.loads) + len(p.serving) + len(p.lost) + len(p.highest) + len(p.succeeded)
}
