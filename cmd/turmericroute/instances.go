package main

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"turmericroute/client"
	"turmericroute/model"
	"turmericroute/webapi"
)

// instanceTimeout bounds the call to one instance, which may hang or be down, so
// that the others are still shown within defaultTimeout.
const instanceTimeout = 3 * time.Second

// instance is one instance of the deployment and its own status.
type instance struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Status is nil when the call failed.
	Status *webapi.Status `json:"status,omitempty"`
	Error  string         `json:"error,omitempty"`
	err    error
}

// fetchInstances returns the status of all known instances: those of -addresses
// and the peers that these report. The result is sorted by name and address.
func (s *session) fetchInstances(ctx context.Context) ([]instance, error) {
	addresses := splitList(s.addresses)
	found, err := s.fetchStatuses(ctx, addresses)
	if err != nil {
		return nil, err
	}
	peers := map[string]webapi.Peer{}
	for _, i := range found {
		if i.Status != nil {
			for _, p := range i.Status.Peers {
				peers[p.Name] = p
			}
		}
	}
	var peerAddresses []string
	for _, p := range peers {
		known := func(i instance) bool { return i.Name == p.Name || hostPort(i.Address) == p.HTTPAddress }
		if !slices.ContainsFunc(found, known) {
			peerAddresses = append(peerAddresses, p.HTTPAddress)
		}
	}
	others, err := s.fetchStatuses(ctx, peerAddresses)
	if err != nil {
		return nil, err
	}
	found = append(found, others...)
	for n, i := range found {
		for _, p := range peers {
			if i.Name == "" && hostPort(i.Address) == p.HTTPAddress {
				found[n].Name = p.Name
			}
		}
	}
	slices.SortFunc(found, func(a, b instance) int { return strings.Compare(a.Name+" "+a.Address, b.Name+" "+b.Address) })
	return slices.CompactFunc(found, func(a, b instance) bool { return a.Name != "" && a.Name == b.Name }), nil
}

// hostPort returns an address without its scheme.
func hostPort(address string) string {
	if _, rest, ok := strings.Cut(address, "://"); ok {
		return rest
	}
	return address
}

// fetchStatuses fetches the status of each address concurrently.
func (s *session) fetchStatuses(ctx context.Context, addresses []string) ([]instance, error) {
	out := make([]instance, len(addresses))
	err := s.forEachAddress(ctx, addresses, func(ctx context.Context, n int, c *client.Client) {
		out[n].Address = addresses[n]
		st, err := c.Status(ctx)
		if err != nil {
			out[n].Error, out[n].err = model.AsError(err).Message, err
			return
		}
		out[n].Status, out[n].Name = &st, st.Replica.Name
	})
	return out, err
}

// forEachAddress calls fn concurrently for every address, each with its own client
// and a deadline of instanceTimeout, and waits for all calls.
func (s *session) forEachAddress(ctx context.Context, addresses []string, fn func(ctx context.Context, n int, c *client.Client)) error {
	clients := make([]*client.Client, len(addresses))
	for n, address := range addresses {
		var err error
		if clients[n], err = s.clientFor([]string{address}); err != nil {
			return err
		}
	}
	var wg sync.WaitGroup
	for n, c := range clients {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, instanceTimeout)
			defer cancel()
			fn(ctx, n, c)
		})
	}
	wg.Wait()
	return nil
}

// reachedAddresses returns the addresses of the instances that answered.
func reachedAddresses(list []instance) []string {
	var out []string
	for _, i := range list {
		if i.Status != nil {
			out = append(out, i.Address)
		}
	}
	return out
}
