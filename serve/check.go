package serve

import (
	"turmericroute/config"
	"turmericroute/place"
)

// Shortages describes the guarantees that cannot all hold at once on the
// declared racks in service.
func Shortages(cfg config.Config) []string {
	var out []string
	for _, s := range place.CheckGuarantees(cfg) {
		out = append(out, s.String())
	}
	return out
}
