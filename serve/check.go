package serve

import (
	"turmericroute/config"
	"turmericroute/place"
)

// Shortages describes the guarantees that the declared racks in service cannot
// satisfy at the same time.
func Shortages(cfg config.Config) []string {
	var out []string
	for _, s := range place.CheckGuarantees(cfg) {
		out = append(out, s.String())
	}
	return out
}
