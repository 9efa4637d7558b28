package admin

import (
	"context"

	"github.com/go-kit/kit/endpoint"
	"github.com/rotisserie/eris"

	"filbertworks.example/filbertworks/status"
)

// errNotReady wraps the reason why a balancer is not ready.
var errNotReady = eris.New("not ready")

// A state is the answer to calls that return no other value.
type state struct {
	State string `json:"state"`
}

func current(source Balancer) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		return source.Status(), nil
	}
}

func drain(source Balancer) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		source.Drain()
		return state{State: "leaving"}, nil
	}
}

func explain(source Balancer) endpoint.Endpoint {
	return func(_ context.Context, request any) (any, error) {
		return source.Explain(request.(status.Query))
	}
}

func health(context.Context, any) (any, error) {
	return state{State: "up"}, nil
}

func ready(source Balancer) endpoint.Endpoint {
	return func(context.Context, any) (any, error) {
		if err := source.Ready(); err != nil {
			return nil, eris.Wrap(errNotReady, err.Error())
		}
		return state{State: "ready"}, nil
	}
}
