// Package itest runs instances of the system as processes connected through
// fault-injecting proxies. It is the harness of the integration tests.
package itest
