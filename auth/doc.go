// Package auth authenticates processes and callers: it provides TLS certificates
// for connections between processes, access tokens with roles, and a certificate
// authority for development. Files are reloaded when they change.
package auth
