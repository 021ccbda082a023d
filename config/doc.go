// Package config holds the operators' configuration: declarations of data
// centres, teams with guaranteed shapes and services, their validation, and
// numbered patches.
package config
