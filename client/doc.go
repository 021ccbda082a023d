// Package client is the HTTP client of the API, used by the command line,
// fakes and tests.
package client
