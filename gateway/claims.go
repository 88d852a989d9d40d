package gateway

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hawthornrock/hawthornrock/coordination/formation"
	"github.com/hawthornrock/hawthornrock/coordination/relay"
	"github.com/hawthornrock/hawthornrock/state/site"
)

// consistentServers returns the listed servers without those whose place in a replica belongs to another
// server or to none: their entries come from another writer.
func (c *controller) consistentServers() []serverEntry {
	if c.servers.claimsChanged {
		c.servers.claimsChanged = false
		c.refuseContradictions()
	}
	return slices.DeleteFunc(c.servers.all(), func(e serverEntry) bool { return e.refused })
}

// refuseContradictions marks the entries whose place in a replica belongs to another server or to none.
func (c *controller) refuseContradictions() {
	groups := make(map[string][]serverEntry)
	for _, e := range c.servers.entries {
		if m := e.server.Member; m.State != site.Unassigned && !e.refused {
			groups[m.Group] = append(groups[m.Group], e)
		}
	}
	for group, members := range groups {
		for id, err := range contradictions(members, c.sizeOf(group)) {
			e := c.servers.entries[id]
			e.refused = true
			c.servers.entries[id] = e
			c.logBrokenEntry(relay.Record{Key: id, Offset: e.offset}, err)
		}
	}
}

// sizeOf returns how many members a replica has, zero if that is not known.
func (c *controller) sizeOf(group string) int {
	service := c.engineService()
	if service == nil {
		return 0
	}
	model, _ := service.Engine.Model(formation.ModelOf(group))
	return model.Size
}

// contradictions returns which of the entries of a replica of the given size contradict the others, and
// how. A place belongs to the server that was seen in it first. Of entries that were first seen in one
// listing, the latest one counts: a server writes its entry again and again.
func contradictions(members []serverEntry, size int) map[string]error {
	slices.SortFunc(members, func(a, b serverEntry) int {
		return cmp.Or(cmp.Compare(a.claimedAt, b.claimedAt), cmp.Compare(b.offset, a.offset))
	})
	var (
		out    = make(map[string]error)
		holder = make(map[int]string)
		epoch  int64
	)
	for _, e := range members {
		m := e.server.Member
		switch {
		case size > 0 && m.Rank >= size:
			out[e.server.ID] = fmt.Errorf("rank %d of group %q is out of range: it has %d members", m.Rank, m.Group, size)
		case len(holder) > 0 && m.Epoch != epoch:
			out[e.server.ID] = fmt.Errorf("epoch %d of group %q differs from %d, that of its members", m.Epoch, m.Group, epoch)
		case holder[m.Rank] != "":
			out[e.server.ID] = fmt.Errorf("rank %d of group %q belongs to server %q", m.Rank, m.Group, holder[m.Rank])
		default:
			holder[m.Rank], epoch = e.server.ID, m.Epoch
		}
	}
	return out
}
