package config

import (
	"turmericroute/model"
	"turmericroute/quota"
)

// Config is one version of the operators' configuration; it must not be modified.
type Config struct {
	// Version is the number of accepted patches, from 0.
	Version     uint64       `json:"version" yaml:"-"`
	DataCentres []DataCentre `json:"data_centres" yaml:"data_centres"`
	Teams       []Team       `json:"teams" yaml:"teams"`
	Services    []Service    `json:"services" yaml:"services"`
	// DrainedWorkers are the workers that start no new tasks.
	DrainedWorkers []Drain `json:"drained_workers,omitempty" yaml:"drained_workers,omitempty"`
}

// DataCentre is a zone with racks of workers.
type DataCentre struct {
	Name   string `json:"name" yaml:"name"`
	Region string `json:"region" yaml:"region"`
	// OutOfService prevents new tasks and requests in the data centre.
	OutOfService bool   `json:"out_of_service,omitempty" yaml:"out_of_service,omitempty"`
	Reason       string `json:"reason,omitempty" yaml:"reason,omitempty"`
	Racks        []Rack `json:"racks" yaml:"racks"`
}

// Rack declares the workers that are expected in a rack.
type Rack struct {
	Name string `json:"name" yaml:"name"`
	// Workers is the number of workers in the rack.
	Workers int `json:"workers" yaml:"workers"`
	// PerWorker is the capacity of each worker.
	PerWorker model.Resources `json:"per_worker" yaml:"per_worker"`
}

// Team is a customer with guaranteed shapes.
type Team struct {
	Name string `json:"name" yaml:"name"`
	// Weight is the team's share of capacity beyond guarantees; 0 means 1.
	Weight     float64     `json:"weight,omitempty" yaml:"weight,omitempty"`
	Guarantees []Guarantee `json:"guarantees,omitempty" yaml:"guarantees,omitempty"`
	// MaxGPUs bounds the accelerators in use by the team, borrowed ones included; 0 means no bound.
	MaxGPUs int `json:"max_gpus,omitempty" yaml:"max_gpus,omitempty"`
	// MaxCores and MaxMemoryMB bound the cores and the memory in MiB in the same way.
	MaxCores    int `json:"max_cores,omitempty" yaml:"max_cores,omitempty"`
	MaxMemoryMB int `json:"max_memory_mb,omitempty" yaml:"max_memory_mb,omitempty"`
	// DataCentres limits where the team's tasks and requests may run; empty means everywhere.
	DataCentres []string `json:"data_centres,omitempty" yaml:"data_centres,omitempty"`
	// Services names the upstream services that the team may call.
	Services []string `json:"services,omitempty" yaml:"services,omitempty"`
	// MaxRequests bounds the team's concurrent requests over all entries; 0 means no bound.
	MaxRequests int `json:"max_requests,omitempty" yaml:"max_requests,omitempty"`
}

// Quota returns the most that the team may use at once.
func (t Team) Quota() quota.Limit {
	return quota.Limit{CPUMilli: 1000 * t.MaxCores, MemoryMB: t.MaxMemoryMB, GPUs: t.MaxGPUs}
}

// Guarantee is a shape that a team can run Count times concurrently at any time.
type Guarantee struct {
	Shape model.Shape `json:"shape" yaml:"shape"`
	// Count is the number of gangs with this shape; 0 means 1.
	Count int `json:"count,omitempty" yaml:"count,omitempty"`
	// DataCentres limits where the shape must fit; empty means all data centres that the team may use.
	DataCentres []string `json:"data_centres,omitempty" yaml:"data_centres,omitempty"`
}

// Service is a service that upstreams provide.
type Service struct {
	Name string `json:"name" yaml:"name"`
	// DataCentres limits where its executors may be used; empty means everywhere.
	DataCentres []string `json:"data_centres,omitempty" yaml:"data_centres,omitempty"`
	// Slots bounds the concurrent requests to one executor.
	Slots int `json:"slots" yaml:"slots"`
	// Connections bounds the open connections to one executor over all entries.
	Connections int `json:"connections" yaml:"connections"`
}

// Drain takes a worker out of service.
type Drain struct {
	Worker string `json:"worker" yaml:"worker"`
	Reason string `json:"reason,omitempty" yaml:"reason,omitempty"`
}

// Patch is an atomic change to a numbered version of the configuration.
type Patch struct {
	// ID identifies the patch, so that a retry after a lost response gets the first response.
	ID string `json:"id"`
	// BaseVersion is the only version that the patch may be applied to.
	BaseVersion uint64   `json:"base_version"`
	Author      string   `json:"author,omitempty"`
	Reason      string   `json:"reason,omitempty"`
	Changes     []Change `json:"changes"`
}

// Change is one step of a patch; exactly one field is set.
type Change struct {
	PutDataCentre    *DataCentre      `json:"put_data_centre,omitempty"`
	RemoveDataCentre string           `json:"remove_data_centre,omitempty"`
	PutTeam          *Team            `json:"put_team,omitempty"`
	RemoveTeam       string           `json:"remove_team,omitempty"`
	PutService       *Service         `json:"put_service,omitempty"`
	RemoveService    string           `json:"remove_service,omitempty"`
	SetDataCentre    *DataCentreState `json:"set_data_centre,omitempty"`
	DrainWorker      *Drain           `json:"drain_worker,omitempty"`
	UndrainWorker    string           `json:"undrain_worker,omitempty"`
}

// DataCentreState takes a data centre out of service or returns it to service.
type DataCentreState struct {
	Name         string `json:"name"`
	OutOfService bool   `json:"out_of_service"`
	Reason       string `json:"reason,omitempty"`
}
