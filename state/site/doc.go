// Package site defines the types of one deployment that operators and backend servers publish:
// routes, organisations, services, model engines and the servers themselves. It is independent of
// their encoding.
package site
