package configuration

import (
	"fmt"
	"slices"
	"strings"

	"github.com/hawthornrock/hawthornrock/state/fleet"
)

// appendBounded returns a copy of items with item appended, keeping the newest
// limit of them.
func appendBounded[T any](items []T, item T, limit int) []T {
	out := append(slices.Clone(items), item)
	if len(out) > limit {
		out = out[len(out)-limit:]
	}
	return out
}

// byName returns deployments keyed by name.
func byName(deployments []fleet.Deployment) map[string]fleet.Deployment {
	out := make(map[string]fleet.Deployment, len(deployments))
	for _, d := range deployments {
		out[d.Name] = d
	}
	return out
}

// describeChange returns a line of the diff for each field that differs.
func describeChange(before, after fleet.Deployment) []string {
	fields := []struct{ name, before, after string }{
		{"kind", string(before.Kind), string(after.Kind)},
		{"model", before.Model, after.Model},
		{"adapter", before.Adapter, after.Adapter},
		{"version", before.Version, after.Version},
		{"replicas", fmt.Sprint(before.Replicas), fmt.Sprint(after.Replicas)},
		{"instances_per_replica", fmt.Sprint(before.InstancesPerReplica), fmt.Sprint(after.InstancesPerReplica)},
		{"failure_domains", strings.Join(before.FailureDomains, " "), strings.Join(after.FailureDomains, " ")},
		{"organisations", strings.Join(before.Organisations, " "), strings.Join(after.Organisations, " ")},
		{"priority", string(before.Priority), string(after.Priority)},
		{"idempotent_methods", strings.Join(before.IdempotentMethods, " "), strings.Join(after.IdempotentMethods, " ")},
	}
	var lines []string
	for _, f := range fields {
		if f.before != f.after {
			lines = append(lines, fmt.Sprintf("~ %s %s: %q -> %q", after.Name, f.name, f.before, f.after))
		}
	}
	return lines
}

// withName returns names with name added, sorted.
func withName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	out := append(slices.Clone(names), name)
	slices.Sort(out)
	return out
}

// withoutName returns names with name removed.
func withoutName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
