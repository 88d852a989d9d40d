// Package standin holds small stand-ins for the outside systems that hawthornrock
// meets: the platform's log and list of instances, model engines and a plain
// service. Each speaks the published protocol of what it stands for, and fails
// on demand.
package standin
