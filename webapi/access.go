package webapi

import (
	"context"
	"net/http"
	"slices"
	"strings"

	"turmericroute/auth"
	"turmericroute/model"
)

// Identifier tells whose secret a caller presents; package auth implements it.
type Identifier interface {
	Identify(secret string) (auth.Identity, bool)
}

// anyone is the identity of callers while no tokens are set.
var anyone = auth.Identity{Name: "anyone", Role: auth.RoleOperator}

type identityKey struct{}

// identityOf returns who sent the request.
func identityOf(ctx context.Context) auth.Identity {
	if id, ok := ctx.Value(identityKey{}).(auth.Identity); ok {
		return id
	}
	return anyone
}

// identify finds out who sent the request.
func (a *api) identify(r *http.Request) (auth.Identity, error) {
	if a.Tokens == nil {
		return anyone, nil
	}
	secret, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return auth.Identity{}, model.NotRun(model.CodeUnauthorised, "the request carries no bearer token")
	}
	id, ok := a.Tokens.Identify(secret)
	if !ok {
		return auth.Identity{}, model.NotRun(model.CodeUnauthorised, "the token is not known")
	}
	return id, nil
}

// allow identifies the caller and checks that a role is allowed; operators always are.
func (a *api) allow(r *http.Request, roles []auth.Role) (*http.Request, error) {
	id, err := a.identify(r)
	if err != nil {
		return r, unsettled(r, err)
	}
	if note, ok := r.Context().Value(callerKey{}).(*caller); ok {
		note.identity = id
	}
	if id.Role != auth.RoleOperator && !slices.Contains(roles, id.Role) {
		return r, unsettled(r, model.NotRun(model.CodeForbidden, "tokens of the role %s may not do this", id.Role))
	}
	return r.WithContext(context.WithValue(r.Context(), identityKey{}, id)), nil
}

// speaksFor refuses workers and upstreams that name another one than themselves.
func speaksFor(r *http.Request, name string) error {
	id := identityOf(r.Context())
	if id.Role != auth.RoleOperator && id.Subject != name {
		return model.NotRun(model.CodeForbidden, "the token speaks for %s, not for %s", id.Subject, name)
	}
	return nil
}

// ownTeam returns the team that the caller is limited to, if any.
func ownTeam(ctx context.Context) (string, bool) {
	id := identityOf(ctx)
	return id.Subject, id.Role == auth.RoleTeam
}

// asTeam makes the request one of the caller's own team.
func asTeam(r *http.Request) error {
	team, limited := ownTeam(r.Context())
	if !limited {
		return nil
	}
	if named := r.Header.Get(HeaderTeam); named != "" && named != team {
		return model.NotRun(model.CodeForbidden, "the token speaks for team %s, not for %s", team, named)
	}
	r.Header.Set(HeaderTeam, team)
	return nil
}

// unsettled returns a refusal of a request before its ID or key was looked up.
// Where the request carries one, an earlier sending may have run.
func unsettled(r *http.Request, err error) error {
	submits := r.Method == http.MethodPost && (r.URL.Path == "/v1/jobs" || r.URL.Path == "/v1/config/patches")
	if submits || r.Header.Get("Idempotency-Key") != "" {
		return unlooked(err)
	}
	return err
}
