package main

import (
	"encoding/json"
	"fmt"
	"net/http"
)

// playBadConfig plays a configuration that cannot be read in full, since it has a brace too many.
func playBadConfig(p *play) (string, error) {
	body := configDocument(5)
	if p.trouble {
		body = append(body, '}')
		p.rec.add("fault", "the operator sends a configuration that is no JSON document: a brace follows its end")
	}
	status, _, err := p.order(http.MethodPut, "/config", body)
	if err != nil {
		return "", err
	}
	if !p.trouble {
		if status != http.StatusOK {
			return "", notRun("a valid configuration is answered %d", status)
		}
		return "", nil
	}
	if status != http.StatusOK {
		return "", nil
	}
	status, data, err := p.order(http.MethodGet, "/config", nil)
	if err != nil {
		return "", err
	}
	return fmt.Sprintf("an invalid configuration is acknowledged; GET /config then returns %d with a document that is valid JSON: %v, with %q at its end",
		status, json.Valid(data), data[max(0, len(data)-8):]), nil
}
