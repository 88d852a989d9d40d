// Package site holds what operators and backend servers of one deployment
// publish: routes, organisations, services, model engines and the servers
// themselves. It knows no encoding.
package site
