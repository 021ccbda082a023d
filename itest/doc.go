// Package itest starts real processes of the system behind fault-injecting
// proxies, for the integration tests in this folder.
package itest
