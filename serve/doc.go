// Package serve reads the settings of a process, assembles its roles and runs
// them until a graceful shutdown.
package serve
