// Package serve reads the settings of a process, assembles its components and
// runs them until a graceful shutdown.
package serve
