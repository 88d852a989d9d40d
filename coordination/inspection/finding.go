package inspection

import (
	"cmp"
	"fmt"
	"slices"
	"unicode/utf8"
)

// A Weight tells how serious a finding is. Lower ones are more serious.
type Weight int

// The weights.
const (
	// Error is what daemons refuse, or what callers get no answer to.
	Error Weight = iota
	// NeverMatches is an entry or limit without effect, or one that no request can meet.
	NeverMatches
	// Contradiction is a limit that contradicts another one.
	Contradiction
	// Remark is what may be intended.
	Remark
	// Change is what callers see of a difference from the version in force.
	Change
	weights
)

// String returns the name of w in the output of the command.
func (w Weight) String() string {
	return [weights]string{"error", "never_matches", "contradiction", "remark", "change"}[w]
}

// MarshalText returns the name of w.
func (w Weight) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// A Source is a file that a finding is about.
type Source int

// The sources.
const (
	// Sent is the configuration that is to be sent.
	Sent Source = iota
	// Policy is the operators' policy.
	Policy
)

// NoPlace is the place of findings that are about no part of a file.
const NoPlace = -1

// A Finding is one thing that an operator should know before a configuration is sent. At is the number of bytes of the
// file before its place, or NoPlace. Field is the field or entry as the file names it, empty if it is about none.
type Finding struct {
	Weight Weight
	Source Source
	At     int
	Field  string
	Text   string
}

// maxKept bounds the findings of each weight that are kept.
const maxKept = 1000

// Findings collects findings and keeps the first maxKept of each weight. The zero value is empty.
type Findings struct {
	kept   [weights][]Finding
	counts [weights]int
}

// Add adds a finding.
func (f *Findings) Add(finding Finding) {
	f.counts[finding.Weight]++
	if len(f.kept[finding.Weight]) < maxKept {
		f.kept[finding.Weight] = append(f.kept[finding.Weight], finding)
	}
}

// Full returns whether further findings of weight w are only counted.
func (f *Findings) Full(w Weight) bool { return len(f.kept[w]) >= maxKept }

// Count returns the number of findings of weight w, with those that were not kept.
func (f *Findings) Count(w Weight) int { return f.counts[w] }

// LeftOut returns the number of findings that were not kept.
func (f *Findings) LeftOut() int {
	out := 0
	for w := range weights {
		out += f.counts[w] - len(f.kept[w])
	}
	return out
}

// Warnings returns the number of findings that are warnings: neither errors, nor remarks or changes.
func (f *Findings) Warnings() int { return f.counts[NeverMatches] + f.counts[Contradiction] }

// Sorted returns the findings that were kept, by weight, file and place.
func (f *Findings) Sorted() []Finding {
	out := slices.Concat(f.kept[:]...)
	slices.SortStableFunc(out, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.Source, b.Source), cmp.Compare(a.At, b.At))
	})
	return out
}

// addf adds a finding with a formatted text.
func (f *Findings) addf(weight Weight, at int, field, format string, args ...any) {
	if f.Full(weight) {
		f.counts[weight]++
		return
	}
	f.Add(Finding{Weight: weight, At: at, Field: field, Text: fmt.Sprintf(format, args...)})
}

// maxQuoted bounds the characters of the file that a finding quotes.
const maxQuoted = 60

// Quote returns text in quotes, at most its first 60 characters, with control characters escaped.
func Quote(text string) string {
	short, n := text, 0
	for i := range text {
		if n == maxQuoted {
			short = text[:i]
			break
		}
		n++
	}
	if len(short) < len(text) {
		return fmt.Sprintf("%q...", short)
	}
	return fmt.Sprintf("%q", text)
}

// A Place is a place in a text. Both numbers start at 1, and a column is one character.
type Place struct{ Line, Column int }

// Places returns the places of the findings in text, those of the zero value for findings without one. It reads text once.
func Places(text []byte, findings []Finding) []Place {
	order := make([]int, len(findings))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(a, b int) int { return cmp.Compare(findings[a].At, findings[b].At) })
	out := make([]Place, len(findings))
	at, place := 0, Place{Line: 1, Column: 1}
	for _, i := range order {
		if findings[i].At < 0 || findings[i].Source != Sent {
			continue
		}
		for at < min(findings[i].At, len(text)) {
			if text[at] == '\n' {
				place = Place{Line: place.Line + 1, Column: 1}
				at++
				continue
			}
			_, size := utf8.DecodeRune(text[at:])
			place.Column++
			at += size
		}
		out[i] = place
	}
	return out
}
