package formation

// StateSize returns the number of entries that p keeps for later steps.
func (p *Planner) StateSize() int {
	return len(p.forming) + len(p.heads) + len(p.sentOrders) + len(p.loading) + len(p.held) + len(p.retired) + len(p.unansweredJoins) + len(p.sentJoins) + len(p.reported) + len(p.placeAsks) + len(p.left) + len(p.movedAt) + len(p.loadStarts) + len(p.servingMembers) + len(p.losses) + len(p.highestEpoch) + len(p.successorOrdered) + len(p.failures) + len(p.seen) + len(p.leaveOrdered)
}
