package serve

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// answerTimeout is how long requests that are ended by a shutdown have to send their answers.
const answerTimeout = 400 * time.Millisecond

// Requests holds the context of all requests to the HTTP servers of a process.
type Requests struct {
	ctx    context.Context
	cancel context.CancelFunc
}

// NewRequests returns the context of the requests of a new process.
func NewRequests() *Requests {
	ctx, cancel := context.WithCancel(context.Background())
	return &Requests{ctx: ctx, cancel: cancel}
}

// BaseContext is the field of that name of the servers whose requests these are.
func (q *Requests) BaseContext(net.Listener) context.Context { return q.ctx }

// Finish shuts down all servers at the same time. Requests that are in flight when ctx ends have their contexts cancelled,
// so that their callers are told what is known instead of losing the connection. It returns an error if requests remain
// without an answer.
func (q *Requests) Finish(ctx context.Context, servers ...*http.Server) error {
	finish, abandon := context.WithCancel(context.WithoutCancel(ctx))
	defer abandon()
	defer context.AfterFunc(ctx, func() {
		q.cancel()
		time.AfterFunc(answerTimeout, abandon)
	})()
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, srv := range servers {
		wg.Go(func() {
			if err := srv.Shutdown(finish); err != nil {
				errs[i] = errors.Join(fmt.Errorf("finish requests at %s: %w", srv.Addr, err), srv.Close())
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
