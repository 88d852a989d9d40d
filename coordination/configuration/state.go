package configuration

import (
	"maps"
	"slices"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

const (
	// maxVerdicts is the number of verdicts that a State keeps to recognise repeated records.
	maxVerdicts = 4096
	// maxEarlierSheets is the number of earlier sheets that a State keeps for rollback.
	maxEarlierSheets = 4
	// largeRemovalDivisor is such that removing more than one deployment in this many counts as a
	// large removal.
	largeRemovalDivisor = 2
)

// A Revision is one sheet that was in force.
type Revision struct {
	Offset      uint64             `cbor:"offset"      json:"offset"`
	Deployments []fleet.Deployment `cbor:"deployments" json:"deployments"`
}

// A State is the configuration in force after the record at Offset. Revision is
// the offset of the sheet or rollback that last changed the deployments; it is
// the base that the next sheet must name. The zero State is an empty
// configuration. A State is immutable.
type State struct {
	Offset      uint64             `cbor:"offset"      json:"offset"`
	Revision    uint64             `cbor:"revision"    json:"revision"`
	Deployments []fleet.Deployment `cbor:"deployments" json:"deployments"`
	DomainsOut  []string           `cbor:"domains_out" json:"domains_out"`
	Cordoned    []string           `cbor:"cordoned"    json:"cordoned"`
	Earlier     []Revision         `cbor:"earlier"     json:"earlier,omitempty"`
	Verdicts    []Verdict          `cbor:"verdicts"    json:"verdicts,omitempty"`
}

// Apply returns the state after the record at offset, and the verdict on the record. A record at
// or before the state's offset changes nothing, and one with the ID of an earlier record gets
// the verdict of that record.
func (s State) Apply(offset uint64, record Record) (State, Verdict) {
	if v, ok := s.Verdict(record.ID); ok {
		return s.advance(offset), v
	}
	if offset <= s.Offset {
		return s, Verdict{ID: record.ID, Offset: offset}
	}
	next, v := s.apply(offset, record)
	v.ID, v.Offset = record.ID, offset
	next.Offset = offset
	next.Verdicts = appendBounded(s.Verdicts, v, maxVerdicts)
	return next, v
}

// Deployment returns the deployment of the given name.
func (s State) Deployment(name string) (fleet.Deployment, bool) {
	i := slices.IndexFunc(s.Deployments, func(d fleet.Deployment) bool { return d.Name == name })
	if i < 0 {
		return fleet.Deployment{}, false
	}
	return s.Deployments[i], true
}

// Diff returns one line for each change that a sheet of deployments would make: "+" for an added
// deployment, "-" for a removed one and "~" for each changed field.
func (s State) Diff(deployments []fleet.Deployment) []string {
	before, after := byName(s.Deployments), byName(deployments)
	var lines []string
	for _, name := range slices.Sorted(maps.Keys(before)) {
		if _, ok := after[name]; !ok {
			lines = append(lines, "- "+name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(after)) {
		if old, ok := before[name]; !ok {
			lines = append(lines, "+ "+name)
		} else {
			lines = append(lines, describeChange(old, after[name])...)
		}
	}
	return lines
}

// DomainOut returns whether operators have taken failureDomain out of service.
func (s State) DomainOut(failureDomain string) bool {
	return slices.Contains(s.DomainsOut, failureDomain)
}

// InstanceCordoned returns whether operators have cordoned instance.
func (s State) InstanceCordoned(instance string) bool {
	return slices.Contains(s.Cordoned, instance)
}

// Restore returns s or snapshot, whichever has the higher log offset.
func (s State) Restore(snapshot State) State {
	if snapshot.Offset > s.Offset {
		return snapshot
	}
	return s
}

// Verdict returns the verdict on the record of the given id, if it is still kept.
func (s State) Verdict(id string) (Verdict, bool) {
	i := slices.IndexFunc(s.Verdicts, func(v Verdict) bool { return v.ID == id })
	if i < 0 {
		return Verdict{}, false
	}
	return s.Verdicts[i], true
}

// advance returns s with its offset raised to offset.
func (s State) advance(offset uint64) State {
	s.Offset = max(s.Offset, offset)
	return s
}

// apply returns the state after record, without updating the offset and the kept verdicts.
func (s State) apply(offset uint64, record Record) (State, Verdict) {
	accepted := Verdict{Accepted: true}
	switch record.Kind {
	case KindSheet:
		return s.applySheet(offset, record)
	case KindDomainOut:
		s.DomainsOut = withName(s.DomainsOut, record.Target)
	case KindDomainIn:
		s.DomainsOut = withoutName(s.DomainsOut, record.Target)
	case KindCordon:
		s.Cordoned = withName(s.Cordoned, record.Target)
	case KindRelease:
		s.Cordoned = withoutName(s.Cordoned, record.Target)
	case KindRollback:
		return s.applyRollback(offset, record)
	default:
		return s, Verdict{Reason: ReasonUnknownKind}
	}
	return s, accepted
}

// applyRollback returns the state with the deployments of the previous sheet.
func (s State) applyRollback(offset uint64, record Record) (State, Verdict) {
	if record.Base != s.Revision {
		return s, Verdict{Reason: ReasonConflict}
	}
	if len(s.Earlier) == 0 {
		return s, Verdict{Reason: ReasonNoEarlierSheet}
	}
	last := len(s.Earlier) - 1
	s.Deployments, s.Revision = s.Earlier[last].Deployments, offset
	s.Earlier = s.Earlier[:last:last]
	return s, Verdict{Accepted: true}
}

// applySheet returns the state with the deployments of record.
func (s State) applySheet(offset uint64, record Record) (State, Verdict) {
	if record.Base != s.Revision {
		return s, Verdict{Reason: ReasonConflict, Diff: s.Diff(record.Deployments)}
	}
	if s.LargeRemoval(record.Deployments) && !record.ConfirmRemoval {
		return s, Verdict{Reason: ReasonLargeRemoval, Diff: s.Diff(record.Deployments)}
	}
	if s.Revision != 0 {
		s.Earlier = appendBounded(s.Earlier, Revision{Offset: s.Revision, Deployments: s.Deployments}, maxEarlierSheets)
	}
	s.Deployments, s.Revision = slices.Clone(record.Deployments), offset
	return s, Verdict{Accepted: true}
}

// LargeRemoval returns whether a sheet of deployments would remove more than half of those in
// force, which operators must confirm.
func (s State) LargeRemoval(deployments []fleet.Deployment) bool {
	after := byName(deployments)
	removed := 0
	for _, d := range s.Deployments {
		if _, ok := after[d.Name]; !ok {
			removed++
		}
	}
	return removed*largeRemovalDivisor > len(s.Deployments)
}
