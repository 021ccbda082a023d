// Package config defines the operators' configuration: declarations of data
// centres, services, and teams with guaranteed shapes, their validation, and
// patches against a numbered version.
package config
