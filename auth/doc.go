// Package auth holds the identities of processes and callers: certificates
// between processes, access tokens with roles, and a development authority.
// Files are read again when they change.
package auth
