// Package level decides what daemons of different builds may ask of each other while the machines of a
// fleet change from one build to another.
package level

import (
	"cmp"
	"slices"
)

// A Level is what a build understands and does for other daemons. Each level has all that the lower
// ones have.
type Level int

// The levels, by what they added.
const (
	// Base is the level of builds that tell neither a level nor a region.
	Base Level = iota
	// Detours means that a daemon passes on requests of others to servers. Builds of this level do not
	// tell it, but tell their regions.
	Detours
	// Told means that a daemon tells its level.
	Told
)

const (
	// Own is the level of this build.
	Own = Told
	// Oldest is the lowest level that this build understands.
	Oldest = Base
)

// Of returns the level of a daemon that told the given level, zero if none. tellsRegion means that it
// also told its region.
func Of(told Level, tellsRegion bool) Level {
	if told == Base && tellsRegion {
		return Detours
	}
	return told
}

// Understood returns whether this build knows what a daemon of level l expects.
func (l Level) Understood() bool { return l >= Oldest && l <= Own }

// A Daemon is one run of a daemon with its level.
type Daemon struct {
	Name  string
	Level Level
}

// A Change is what is new about the levels of a fleet.
type Change struct {
	// From and To are the lowest level of the fleet before and now. Moved means that they differ.
	From, To Level
	Moved    bool
	// Unknown are daemons whose levels this build does not understand, each named once.
	Unknown []Daemon
}

// A Fleet follows the levels of the live daemons. The zero value is a fleet at the level of this build.
// It is not safe for concurrent use.
type Fleet struct {
	// below is how far the lowest level is below the level of this build.
	below   Level
	unknown map[string]Level
}

// Lowest returns the lowest level of the fleet, that of this build at most.
func (f *Fleet) Lowest() Level { return Own - f.below }

// Observe records the levels of the other live daemons by name, and returns what changed.
func (f *Fleet) Observe(levels map[string]Level) Change {
	change := Change{From: f.Lowest(), To: Own}
	unknown := make(map[string]Level)
	for name, l := range levels {
		change.To = min(change.To, l)
		if l.Understood() {
			continue
		}
		unknown[name] = l
		if known, ok := f.unknown[name]; !ok || known != l {
			change.Unknown = append(change.Unknown, Daemon{Name: name, Level: l})
		}
	}
	slices.SortFunc(change.Unknown, func(a, b Daemon) int { return cmp.Compare(a.Name, b.Name) })
	f.below, f.unknown, change.Moved = Own-change.To, unknown, change.From != change.To
	return change
}
