// Package standin implements test doubles for the external systems that
// hawthornrock talks to: the platform's log and list of instances, model engines
// and plain services. Each implements the published protocol of the system that
// it replaces, and injects faults on request.
package standin
